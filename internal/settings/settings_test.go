package settings

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/strictjson"
)

const validSettings = `{"id":"a-1","dataCentre":"a","region":"r",
 "packets":{"listen":"127.0.0.1:4754"},"requests":{"listen":"127.0.0.1:7001"},
 "control":{"listen":"127.0.0.1:7002","plainText":true},"admin":{"listen":"127.0.0.1:7003"},
 "store":{"url":"http://127.0.0.1:7000"}}`

func problemPaths(err error) []string {
	var problems strictjson.Problems
	if !errors.As(err, &problems) {
		return nil
	}
	var all []string
	for _, p := range problems {
		all = append(all, p.Path)
	}
	return all
}

func TestParse(t *testing.T) {
	is := is.New(t)
	v, err := Parse([]byte(validSettings))
	is.NoErr(err)
	is.Equal(v.Workers, DefaultWorkers)
	is.Equal(v.DrainTimeout, DefaultDrainTimeout)

	cases := []struct {
		name, text string
		want       []string
	}{
		{"unknown and missing fields", `{"id":"a","dataCenter":"a","region":"r","pakets":{},
			"requests":{"listen":"127.0.0.1:1"},"control":{"listen":"127.0.0.1:2","plainText":true},
			"admin":{"listen":"127.0.0.1:3"},"store":{"url":"http://x"}}`,
			[]string{"dataCenter", "pakets", "dataCentre", "packets.listen"}},
		{"invalid values", `{"id":"","dataCentre":"a","region":"r",
			"packets":{"listen":"here"},"requests":{"listen":"127.0.0.1:7001"},
			"control":{"listen":"127.0.0.1:7001","plainText":true},"admin":{"listen":"127.0.0.1:7003"},
			"store":{"url":"ftp://x"}}`,
			[]string{"id", "packets.listen", "store.url", "control.listen"}},
		{"contradiction", `{"id":"a-1","dataCentre":"a","region":"r",
			"packets":{"listen":"0.0.0.0:4754"},"requests":{"listen":"127.0.0.1:7001"},
			"control":{"listen":"127.0.0.1:7002","plainText":true,"tls":{"certificate":"c","key":"k","authorities":["a"]}},
			"admin":{"listen":"127.0.0.1:7003"},"store":{"url":"http://x"},"drainTimeout":"-1s"}`,
			[]string{"packets.advertise", "drainTimeout", "control.plainText"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(c.text))
			is.Equal(problemPaths(err), c.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		v, err := Parse(data)
		if (v == nil) == (err == nil) {
			t.Fatal("want settings or an error")
		}
	})
}
