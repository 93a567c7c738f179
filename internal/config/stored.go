package config

import (
	"encoding/json"
)

// MarshalJSON writes the header and the services as one object.
func (s State) MarshalJSON() ([]byte, error) {
	type header StateHeader
	return marshalWithUnknown(struct {
		header
		Services []ServiceRecord `json:"services"`
	}{header(s.StateHeader), s.Services}, s.unknown)
}

// UnmarshalJSON reads the known fields and keeps the unknown ones.
func (s *State) UnmarshalJSON(data []byte) (err error) {
	type header StateHeader
	var stored struct {
		header
		Services []ServiceRecord `json:"services"`
	}
	stored.unknown, err = unmarshalWithUnknown(data, &stored)
	*s = State{StateHeader: StateHeader(stored.header), Services: stored.Services}
	return err
}

// MarshalJSON writes the known fields, then the unknown ones.
func (h StateHeader) MarshalJSON() ([]byte, error) {
	type plain StateHeader
	return marshalWithUnknown(plain(h), h.unknown)
}

// UnmarshalJSON reads the known fields and keeps the unknown ones.
func (h *StateHeader) UnmarshalJSON(data []byte) (err error) {
	type plain StateHeader
	h.unknown, err = unmarshalWithUnknown(data, (*plain)(h))
	return err
}

// MarshalJSON writes the known fields, then the unknown ones.
func (r DataCentreRecord) MarshalJSON() ([]byte, error) {
	type plain DataCentreRecord
	return marshalWithUnknown(plain(r), r.unknown)
}

// UnmarshalJSON reads the known fields and keeps the unknown ones.
func (r *DataCentreRecord) UnmarshalJSON(data []byte) (err error) {
	type plain DataCentreRecord
	r.unknown, err = unmarshalWithUnknown(data, (*plain)(r))
	return err
}

// MarshalJSON writes the known fields, then the unknown ones.
func (r ServiceRecord) MarshalJSON() ([]byte, error) {
	type plain ServiceRecord
	return marshalWithUnknown(plain(r), r.unknown)
}

// UnmarshalJSON reads the known fields and keeps the unknown ones.
func (r *ServiceRecord) UnmarshalJSON(data []byte) (err error) {
	type plain ServiceRecord
	r.unknown, err = unmarshalWithUnknown(data, (*plain)(r))
	return err
}

// MarshalJSON writes the known fields, then the unknown ones.
func (r ServerRecord) MarshalJSON() ([]byte, error) {
	type plain ServerRecord
	return marshalWithUnknown(plain(r), r.unknown)
}

// UnmarshalJSON reads the known fields and keeps the unknown ones.
func (r *ServerRecord) UnmarshalJSON(data []byte) (err error) {
	type plain ServerRecord
	r.unknown, err = unmarshalWithUnknown(data, (*plain)(r))
	return err
}

// MarshalJSON writes a member as an array of number and weight.
func (m Member) MarshalJSON() ([]byte, error) {
	return json.Marshal([2]uint32{uint32(m.Number), m.Weight})
}

// UnmarshalJSON reads an array of number and weight.
func (m *Member) UnmarshalJSON(data []byte) error {
	var pair [2]uint32
	if err := json.Unmarshal(data, &pair); err != nil {
		return err
	}
	*m = Member{Number: Number(pair[0]), Weight: pair[1]}
	return nil
}
