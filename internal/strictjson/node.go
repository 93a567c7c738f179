package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxDepth is the maximum nesting depth of arrays and objects.
const maxDepth = 32

// node is one JSON value: a json.Number, string, bool, nil, []node or []member.
type node struct {
	value any
}

// member is one field of an object. Members keep the order of the document.
type member struct {
	name  string
	value node
}

var errTooDeep = fmt.Errorf("nested deeper than %d levels", maxDepth)

// parse reads exactly one JSON value.
func parse(data []byte) (node, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	root, err := parseValue(d, 0)
	if err != nil {
		return node{}, withLine(data, d, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return node{}, withLine(data, d, errors.New("more text after the end of the document"))
	}
	return root, nil
}

func parseValue(d *json.Decoder, depth int) (node, error) {
	if depth > maxDepth {
		return node{}, errTooDeep
	}
	token, err := d.Token()
	if err != nil {
		return node{}, err
	}
	switch token {
	case json.Delim('{'):
		return parseObject(d, depth)
	case json.Delim('['):
		return parseArray(d, depth)
	}
	return node{value: token}, nil
}

func parseObject(d *json.Decoder, depth int) (node, error) {
	members := []member{}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return node{}, err
		}
		value, err := parseValue(d, depth+1)
		if err != nil {
			return node{}, err
		}
		members = append(members, member{name: name.(string), value: value})
	}
	_, err := d.Token()
	return node{value: members}, err
}

func parseArray(d *json.Decoder, depth int) (node, error) {
	elements := []node{}
	for d.More() {
		value, err := parseValue(d, depth+1)
		if err != nil {
			return node{}, err
		}
		elements = append(elements, value)
	}
	_, err := d.Token()
	return node{value: elements}, err
}

// withLine adds the number of the line, from 1, at which the decoder stopped.
func withLine(data []byte, d *json.Decoder, err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = errors.New("the text ends too early")
	}
	read := data[:min(int(d.InputOffset()), len(data))]
	line := 1 + bytes.Count(read, []byte("\n"))
	return fmt.Errorf("not JSON: line %d: %w", line, err)
}
