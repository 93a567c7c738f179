package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"balsamfork/platform/platformtest"
)

const declaration = `{"format":1,
 "dataCentres":[{"name":"a","region":"r"},{"name":"b","region":"r"}],
 "services":[{"name":"orders","address":"203.0.113.10:443","protocol":"tcp","idleLimit":"2h","slots":4,
  "ramp":{"start":0.1,"duration":"30s"},
  "backendServers":[
   {"name":"o1","dataCentre":"a","packets":"127.0.0.1:9001","weight":1},
   {"name":"o2","dataCentre":"a","packets":"127.0.0.1:9002","weight":1},
   {"name":"o3","dataCentre":"b","packets":"127.0.0.1:9003","weight":1},
   {"name":"o4","dataCentre":"b","packets":"127.0.0.1:9004","weight":1}]}]}`

// tool runs commands of the tool against its own store.
type tool struct {
	t   *testing.T
	url string
	dir string
}

func newTool(t *testing.T) *tool {
	server := httptest.NewServer(platformtest.NewStore())
	t.Cleanup(server.Close)
	return &tool{t: t, url: server.URL, dir: t.TempDir()}
}

func (u *tool) writeFile(text string) string {
	path := filepath.Join(u.dir, "declaration.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		u.t.Fatal(err)
	}
	return path
}

// run runs a command and returns its exit code, standard output and standard error.
func (u *tool) run(input string, args ...string) (int, string, string) {
	var out, errors bytes.Buffer
	env := Env{In: strings.NewReader(input), Out: &out, Err: &errors}
	code := Run(context.Background(), env, args)
	return code, out.String(), errors.String()
}

// runWithStore runs a command that takes the store flags.
func (u *tool) runWithStore(input, command string, args ...string) (int, string, string) {
	return u.run(input, append([]string{command, "-store", u.url, "-operator", "anna"}, args...)...)
}

func TestValidateReportsEveryProblem(t *testing.T) {
	is := is.New(t)
	u := newTool(t)
	faulty := strings.NewReplacer(`"slots":4`, `"slots":-4`, `"dataCentre":"b","packets":"127.0.0.1:9003"`,
		`"dataCentre":"c","packets":"127.0.0.1:9003"`, `"weight":1}]`, `"wieght":1}]`).Replace(declaration)
	code, _, errors := u.run("", "validate", u.writeFile(faulty))
	is.Equal(code, 2)
	for _, path := range []string{"services[0].slots", "services[0].backendServers[2].dataCentre", "services[0].backendServers[3].wieght"} {
		is.True(strings.Contains(errors, path)) // every problem is reported
	}
}

func TestChangesFromDeclarationToAudit(t *testing.T) {
	is := is.New(t)
	u := newTool(t)
	path := u.writeFile(declaration)

	code, out, _ := u.runWithStore("", "plan", path)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "add service orders"))
	code, out, _ = u.runWithStore("", "apply", "-commit", "c0ffee", path)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "Accepted as version 1"))
	code, out, _ = u.runWithStore("", "apply", path)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "Nothing to change"))

	code, _, _ = u.runWithStore("", "drain", "orders/o1")
	is.Equal(code, 0)
	code, _, _ = u.runWithStore("", "undrain", "orders/o1")
	is.Equal(code, 0)
	code, _, _ = u.runWithStore("", "drain", "orders")
	is.Equal(code, 2) // the argument must have the form SERVICE/SERVER

	code, _, errors := u.runWithStore("n\n", "takeout", "b")
	is.Equal(code, int(ExitRefused))
	is.True(strings.Contains(errors, "ends established flows"))
	code, _, _ = u.runWithStore("y\n", "takeout", "b")
	is.Equal(code, 0)
	code, _, _ = u.runWithStore("", "takeout", "-yes", "a")
	is.Equal(code, int(ExitRefused)) // the last data centre needs -force
	code, _, _ = u.runWithStore("", "return", "b")
	is.Equal(code, 0)

	code, out, _ = u.runWithStore("", "audit", "-json")
	is.Equal(code, 0)
	var trail struct {
		Entries []struct{ Who, Commit string } `json:"entries"`
		Whole   bool                           `json:"whole"`
	}
	is.NoErr(json.Unmarshal([]byte(out), &trail))
	is.True(trail.Whole)
	is.Equal(len(trail.Entries), 5)
	is.Equal(trail.Entries[0].Commit, "c0ffee")
	is.Equal(trail.Entries[4].Who, "anna")
}

// TestMarksSurviveApply guards against the loss of marks when a declaration that was
// written before a drain or takeout is applied.
func TestMarksSurviveApply(t *testing.T) {
	is := is.New(t)
	u := newTool(t)
	check := func(code int, text string, command ...string) {
		t.Helper()
		got, out, errors := u.runWithStore("", command[0], command[1:]...)
		is.Equal(got, code)
		is.True(strings.Contains(out+errors, text))
	}
	path := u.writeFile(declaration)
	check(0, "Planned against version 0.", "plan", path)
	check(0, "Accepted as version 1", "apply", "-seen", "0", path)
	check(0, "MARK in effect: drain orders/o1", "drain", "orders/o1")
	check(0, "Accepted as version 3", "takeout", "-yes", "b")
	check(0, "MARK in effect: take out data centre b\nMARK in effect: drain orders/o1", "plan", path)
	check(0, "Nothing to change: version 3 has it already.\nMARK in effect: take out data centre b", "apply", path)
	check(int(ExitConflict), "version 3 by anna: set mark: take out data centre b", "apply", "-seen", "2", path)
	check(1, "after version 4 was seen", "apply", "-seen", "4", path)
	check(2, "", "apply", "-seen", "x", path)

	other := u.writeFile(strings.Replace(declaration, `9002","weight":1`, `9002","weight":2`, 1))
	check(0, "Accepted as version 4", "apply", "-seen", "3", other)
	check(0, "Accepted as version 5", "return", "b")
	check(0, "Accepted as version 6", "undrain", "orders/o1")
	check(0, "Nothing to change: version 6", "undrain", "orders/o1")
	check(1, `no backend server "o9"`, "drain", "orders/o9")
	u.writeFile(strings.Replace(declaration, `9001","weight":1`, `9001","weight":1,"state":"draining"`, 1))
	check(0, "Accepted as version 7", "apply", path)
	check(int(ExitRefused), "the declaration itself says to drain orders/o1", "undrain", "orders/o1")
}

func TestUsage(t *testing.T) {
	is := is.New(t)
	u := newTool(t)
	code, out, _ := u.run("", "help")
	is.Equal(code, 0)
	for _, name := range []string{"validate", "plan", "apply", "status", "drain", "undrain", "takeout", "return", "audit", "restore", "version", "keys"} {
		is.True(strings.Contains(out, name)) // the help lists the command
	}
	code, _, _ = u.run("", "apply", "-operator", "anna")
	is.Equal(code, 2)
	code, _, _ = u.run("", "status", "-instance", "nowhere")
	is.Equal(code, 2)
}
