package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validSettings = `{"id":"a-1","dataCentre":"a","region":"r",
 "packets":{"listen":"127.0.0.1:0"},"requests":{"listen":"127.0.0.1:0"},
 "control":{"listen":"127.0.0.1:0","plainText":true},"admin":{"listen":"127.0.0.1:0"},
 "store":{"url":"http://127.0.0.1:1"}}`

func TestCheck(t *testing.T) {
	invalidSettings := strings.NewReplacer(`"region":"r"`, `"region":""`, `127.0.0.1:0"},"requests"`, `here"},"requests"`,
		`"admin"`, `"adimn"`).Replace(validSettings)
	cases := []struct {
		name, text string
		code       int
		fields     []string
	}{
		{"valid", validSettings, exitOK, nil},
		{"three mistakes", invalidSettings, exitSettings, []string{"region", "packets.listen", "adimn"}},
		{"not JSON", "{", exitSettings, []string{"not JSON"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "settings.json")
			is.NoErr(os.WriteFile(path, []byte(c.text), 0o600))
			var stderr bytes.Buffer
			is.Equal(run([]string{"-settings", path, "-check"}, &stderr), c.code)
			for _, field := range c.fields {
				is.True(strings.Contains(stderr.String(), field)) // each invalid field is reported
			}
		})
	}
	is := is.New(t)
	var stderr bytes.Buffer
	is.Equal(run([]string{"-check"}, &stderr), exitSettings) // no settings file
}
