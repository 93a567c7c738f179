package strictjson

import (
	"encoding"
	"encoding/json"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
)

// Decode decodes data into the struct that target points to. Field names must
// match the json tags exactly. Types with an UnmarshalText method are decoded from
// a string. Absent fields keep their value. The error is of type Problems and
// contains every problem; fields without a problem are set even then.
func Decode(data []byte, target any) error {
	root, err := parse(data)
	if err != nil {
		return Problems{{Message: err.Error()}}
	}
	var d decoder
	d.decode("", root, reflect.ValueOf(target).Elem())
	return d.problems.Err()
}

type decoder struct {
	problems Problems
}

var (
	addrPortType = reflect.TypeFor[netip.AddrPort]()
	numberType   = reflect.TypeFor[json.Number]()
)

func (d *decoder) decode(path string, n node, v reflect.Value) {
	if n.value == nil {
		d.problems.Add(path, "must not be null")
		return
	}
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(path, n, v, text)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, n, v)
	case reflect.Slice:
		d.decodeSlice(path, n, v)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.decode(path, n, v.Elem())
	case reflect.String:
		d.decodeScalar(path, n, v, "a string")
	case reflect.Bool:
		d.decodeScalar(path, n, v, "true or false")
	default:
		d.decodeNumber(path, n, v)
	}
}

func (d *decoder) decodeText(path string, n node, v reflect.Value, text encoding.TextUnmarshaler) {
	s, ok := n.value.(string)
	if !ok {
		d.problems.Add(path, "must be a string")
		return
	}
	err := text.UnmarshalText([]byte(s))
	if err == nil && s != "" {
		return
	}
	if err == nil {
		d.problems.Add(path, "must not be empty")
		return
	}
	if v.Type() == addrPortType {
		d.problems.Add(path, "%s", AddrPortMessage(s))
		return
	}
	d.problems.Add(path, "%v", err)
}

func (d *decoder) decodeStruct(path string, n node, v reflect.Value) {
	members, ok := n.value.([]member)
	if !ok {
		d.problems.Add(path, "must be an object")
		return
	}
	fields := fieldsOf(v)
	seen := make(map[string]bool, len(members))
	for _, m := range members {
		fieldPath := Field(path, m.name)
		field, known := fields[m.name]
		switch {
		case !known:
			d.problems.Add(fieldPath, "unknown field")
		case seen[m.name]:
			d.problems.Add(fieldPath, "given twice")
		default:
			d.decode(fieldPath, m.value, field)
		}
		seen[m.name] = true
	}
}

func (d *decoder) decodeSlice(path string, n node, v reflect.Value) {
	elements, ok := n.value.([]node)
	if !ok {
		d.problems.Add(path, "must be an array")
		return
	}
	slice := reflect.MakeSlice(v.Type(), len(elements), len(elements))
	for i, e := range elements {
		d.decode(Index(path, i), e, slice.Index(i))
	}
	v.Set(slice)
}

func (d *decoder) decodeScalar(path string, n node, v reflect.Value, kind string) {
	value := reflect.ValueOf(n.value)
	if value.Kind() != v.Kind() || value.Type() == numberType {
		d.problems.Add(path, "must be %s", kind)
		return
	}
	v.Set(value.Convert(v.Type()))
}

func (d *decoder) decodeNumber(path string, n node, v reflect.Value) {
	number, ok := n.value.(json.Number)
	if !ok {
		d.problems.Add(path, "must be a number")
		return
	}
	switch {
	case v.CanInt():
		i, err := strconv.ParseInt(string(number), 10, v.Type().Bits())
		if err != nil {
			d.problems.Add(path, "must be a whole number, is %s", number)
			return
		}
		v.SetInt(i)
	case v.CanUint():
		u, err := strconv.ParseUint(string(number), 10, v.Type().Bits())
		if err != nil {
			d.problems.Add(path, "must be a whole number from 0, is %s", number)
			return
		}
		v.SetUint(u)
	case v.CanFloat():
		f, err := number.Float64()
		if err != nil {
			d.problems.Add(path, "must be a number, is %s", number)
			return
		}
		v.SetFloat(f)
	default:
		panic("strictjson: type cannot be decoded: " + v.Type().String())
	}
}

// fieldsOf returns the fields of a struct by their JSON names, including those of
// embedded structs.
func fieldsOf(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range v.NumField() {
		info := v.Type().Field(i)
		name, _, _ := strings.Cut(info.Tag.Get("json"), ",")
		switch {
		case info.Anonymous && name == "":
			for inner, field := range fieldsOf(v.Field(i)) {
				fields[inner] = field
			}
		case info.IsExported() && name != "" && name != "-":
			fields[name] = v.Field(i)
		}
	}
	return fields
}
