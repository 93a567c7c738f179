package keys

import (
	"crypto/x509"
	"net/url"
	"strings"
)

// Role says what the holder of a certificate may ask for.
type Role uint8

// The roles of a certificate's holder.
const (
	Instance Role = iota + 1
	Operator
)

// scheme is the URI scheme that names a certificate's holder.
const scheme = "balsamfork"

// String returns the role as it stands in a certificate's URI.
func (r Role) String() string {
	switch r {
	case Instance:
		return "instance"
	case Operator:
		return "operator"
	default:
		return "unknown"
	}
}

// Identity is the holder of a certificate.
type Identity struct {
	Role Role   `json:"role"`
	Name string `json:"name"`
}

// URI returns the name of the holder as a certificate carries it.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: scheme, Host: i.Role.String(), Path: "/" + i.Name}
}

// IdentityOf returns the one holder that a certificate names, or Unnamed.
func IdentityOf(cert *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, u := range cert.URIs {
		if id, ok := parseURI(u); ok {
			found = append(found, id)
		}
	}
	if len(found) != 1 {
		return Identity{}, Unnamed.New("certificate %q names %d holders, not one", cert.Subject.CommonName, len(found))
	}
	return found[0], nil
}

func parseURI(u *url.URL) (Identity, bool) {
	name := strings.TrimPrefix(u.Path, "/")
	if u.Scheme != scheme || name == "" || strings.Contains(name, "/") {
		return Identity{}, false
	}
	switch u.Host {
	case Instance.String():
		return Identity{Role: Instance, Name: name}, true
	case Operator.String():
		return Identity{Role: Operator, Name: name}, true
	default:
		return Identity{}, false
	}
}
