package keys

import (
	"crypto/x509"
	"net/url"
	"strings"
)

// Role is the kind of a certificate's holder. It decides which methods the holder
// may call.
type Role uint8

// The roles of a certificate's holder.
const (
	Instance Role = iota + 1
	Operator
)

// uriScheme is the scheme of the URI that names a certificate's holder.
const uriScheme = "balsamfork"

// String returns the role as written in a certificate's URI.
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

// URI returns the URI that names the holder in a certificate.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: i.Role.String(), Path: "/" + i.Name}
}

// IdentityOf returns the holder that a certificate names. It returns NoIdentity if
// the certificate does not name exactly one.
func IdentityOf(cert *x509.Certificate) (Identity, error) {
	var identities []Identity
	for _, u := range cert.URIs {
		if id, ok := parseURI(u); ok {
			identities = append(identities, id)
		}
	}
	if len(identities) != 1 {
		return Identity{}, NoIdentity.New("certificate %q names %d holders, must name one", cert.Subject.CommonName, len(identities))
	}
	return identities[0], nil
}

func parseURI(u *url.URL) (Identity, bool) {
	name := strings.TrimPrefix(u.Path, "/")
	if u.Scheme != uriScheme || name == "" || strings.Contains(name, "/") {
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
