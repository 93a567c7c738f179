package config

import (
	"encoding/json"
)

// MarshalJSON writes the header and the services as one object.
func (s State) MarshalJSON() ([]byte, error) {
	type header StateHeader
	return marshalKeeping(struct {
		header
		Services []ServiceRecord `json:"services"`
	}{header(s.StateHeader), s.Services}, s.more)
}

// UnmarshalJSON reads the known fields and keeps the others.
func (s *State) UnmarshalJSON(data []byte) (err error) {
	type header StateHeader
	var both struct {
		header
		Services []ServiceRecord `json:"services"`
	}
	both.more, err = unmarshalKeeping(data, &both)
	*s = State{StateHeader: StateHeader(both.header), Services: both.Services}
	return err
}

// MarshalJSON writes the known fields, then those of newer releases.
func (h StateHeader) MarshalJSON() ([]byte, error) {
	type plain StateHeader
	return marshalKeeping(plain(h), h.more)
}

// UnmarshalJSON reads the known fields and keeps the others.
func (h *StateHeader) UnmarshalJSON(data []byte) (err error) {
	type plain StateHeader
	h.more, err = unmarshalKeeping(data, (*plain)(h))
	return err
}

// MarshalJSON writes the known fields, then those of newer releases.
func (r DataCentreRecord) MarshalJSON() ([]byte, error) {
	type plain DataCentreRecord
	return marshalKeeping(plain(r), r.more)
}

// UnmarshalJSON reads the known fields and keeps the others.
func (r *DataCentreRecord) UnmarshalJSON(data []byte) (err error) {
	type plain DataCentreRecord
	r.more, err = unmarshalKeeping(data, (*plain)(r))
	return err
}

// MarshalJSON writes the known fields, then those of newer releases.
func (r ServiceRecord) MarshalJSON() ([]byte, error) {
	type plain ServiceRecord
	return marshalKeeping(plain(r), r.more)
}

// UnmarshalJSON reads the known fields and keeps the others.
func (r *ServiceRecord) UnmarshalJSON(data []byte) (err error) {
	type plain ServiceRecord
	r.more, err = unmarshalKeeping(data, (*plain)(r))
	return err
}

// MarshalJSON writes the known fields, then those of newer releases.
func (r ServerRecord) MarshalJSON() ([]byte, error) {
	type plain ServerRecord
	return marshalKeeping(plain(r), r.more)
}

// UnmarshalJSON reads the known fields and keeps the others.
func (r *ServerRecord) UnmarshalJSON(data []byte) (err error) {
	type plain ServerRecord
	r.more, err = unmarshalKeeping(data, (*plain)(r))
	return err
}

// MarshalJSON writes a member as the pair of number and weight.
func (m Member) MarshalJSON() ([]byte, error) {
	return json.Marshal([2]uint32{uint32(m.Number), m.Weight})
}

// UnmarshalJSON reads a pair of number and weight.
func (m *Member) UnmarshalJSON(data []byte) error {
	var pair [2]uint32
	if err := json.Unmarshal(data, &pair); err != nil {
		return err
	}
	*m = Member{Number: Number(pair[0]), Weight: pair[1]}
	return nil
}
