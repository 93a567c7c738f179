package strictjson

import (
	"fmt"
	"strings"
)

// Problem is one thing that is wrong with a document.
type Problem struct {
	// Path leads to the field, such as services[0].backendServers[2].weight. It
	// is empty when the document as a whole is meant.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the path and the message in one line.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// Problems is all that is wrong with a document. It is an error unless empty.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.String()
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

// AddNew appends those of more whose field, or a field around it, has no
// problem yet: what could not be decoded is not judged a second time.
func (p *Problems) AddNew(more Problems) {
	known := *p
	for _, one := range more {
		if !known.covers(one.Path) {
			*p = append(*p, one)
		}
	}
}

func (p Problems) covers(path string) bool {
	for _, one := range p {
		if one.Path == path || one.Path == "" {
			return true
		}
		rest, inside := strings.CutPrefix(path, one.Path)
		if inside && (rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

// NotSocket returns the message for a text that is no IP address with a port.
func NotSocket(text string) string {
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
