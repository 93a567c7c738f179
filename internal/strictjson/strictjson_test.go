package strictjson

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

type inner struct {
	Text string `json:"text"`
}

type outer struct {
	inner
	Count  uint8    `json:"count"`
	Small  int8     `json:"small"`
	Part   float64  `json:"part"`
	Flag   bool     `json:"flag"`
	Maybe  *inner   `json:"maybe"`
	List   []inner  `json:"list"`
	Texts  []string `json:"texts"`
	Hidden string   `json:"-"`
}

func TestDecode(t *testing.T) {
	is := is.New(t)
	var o outer
	is.NoErr(Decode([]byte(`{"text":"a","count":255,"small":-128,"part":1e2,"flag":true,"maybe":{"text":"b"},"list":[{"text":"c"}],"texts":[]}`), &o))
	is.Equal(o, outer{inner: inner{"a"}, Count: 255, Small: -128, Part: 100, Flag: true, Maybe: &inner{"b"}, List: []inner{{"c"}}, Texts: []string{}})
	for text, want := range map[string]string{
		``:                          "not JSON: line 1: the text ends too early",
		"{\n\"text\":":              "not JSON: line 2: the text ends too early",
		`{} {}`:                     "not JSON: line 1: more text after the end of the document",
		`[]`:                        "must be an object",
		`{"Text":"x","-":1}`:        "Text: unknown field\n-: unknown field",
		`{"text":1,"count":256}`:    "text: must be a string\ncount: must be a whole number from 0, is 256",
		`{"small":1.5,"part":"1"}`:  "small: must be a whole number, is 1.5\npart: must be a number",
		`{"flag":null,"flag":true}`: "flag: must not be null\nflag: given twice",
		`{"list":[{"text":"a"},{"x":{}}],"texts":{},"flag":"true"}`: "list[1].x: unknown field\ntexts: must be an array\nflag: must be true or false",
		strings.Repeat("[", 100):                                    "not JSON: line 1: nested deeper than 32 levels",
	} {
		err := Decode([]byte(text), &outer{})
		is.True(err != nil)
		is.Equal(err.Error(), want)
	}
}

func TestAddNew(t *testing.T) {
	is := is.New(t)
	p := Problems{{Path: "a.b"}, {Path: "c[1]"}}
	p.AddNew(Problems{{Path: "a.b.d"}, {Path: "a.bc"}, {Path: "c[1][0]"}, {Path: "c[10]"}, {Path: "a.b"}})
	is.Equal(p, Problems{{Path: "a.b"}, {Path: "c[1]"}, {Path: "a.bc"}, {Path: "c[10]"}})
	is.NoErr(Problems{}.Err())
}
