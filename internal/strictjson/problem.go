package strictjson

import (
	"fmt"
	"strings"
)

// Problem is one error found in a document.
type Problem struct {
	// Path is the path of the field, such as
	// services[0].backendServers[2].weight. It is empty for a problem of the
	// whole document.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the path and the message on one line.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// Problems is the list of errors found in a document. It is an error unless empty.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Add appends a problem with a formatted message.
func (p *Problems) Add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// AddNew appends the problems of more for which neither the field nor an enclosing
// one has a problem yet: a field that could not be decoded gets no second problem
// from validation.
func (p *Problems) AddNew(more Problems) {
	known := *p
	for _, problem := range more {
		if !known.covers(problem.Path) {
			*p = append(*p, problem)
		}
	}
}

// covers reports whether the field at path, or an enclosing one, has a problem.
func (p Problems) covers(path string) bool {
	for _, problem := range p {
		if problem.Path == path || problem.Path == "" {
			return true
		}
		rest, inside := strings.CutPrefix(path, problem.Path)
		if inside && (rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

// AddrPortMessage returns the message for a text that is not an IP address with a port.
func AddrPortMessage(text string) string {
	return fmt.Sprintf("must be an IP address and port such as 203.0.113.7:443, is %q", text)
}

// Field returns the path of a field of the object at path.
func Field(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// Index returns the path of an element of the array at path.
func Index(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}
