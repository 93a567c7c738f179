package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"
)

// serialBits is the length of a certificate's random serial number, in bits.
const serialBits = 120

// Authority is a certificate authority for development certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority with a self-signed certificate that has the
// given common name and validity period.
func NewAuthority(name string, from, until time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := template(name, from, until)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	cert, err := createCertificate(template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key}, nil
}

// Write writes the authority's certificate to a PEM file, without its key.
func (a *Authority) Write(path string) error {
	return writePEM(path, "CERTIFICATE", a.cert.Raw)
}

// Issue generates a key for one holder, signs its certificate and writes both to
// PEM files.
func (a *Authority) Issue(id Identity, from, until time.Time, certPath, keyPath string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template, err := template(id.Name, from, until)
	if err != nil {
		return err
	}
	template.URIs = []*url.URL{id.URI()}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	cert, err := createCertificate(template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	if err := writePEM(keyPath, "PRIVATE KEY", der); err != nil {
		return err
	}
	return writePEM(certPath, "CERTIFICATE", cert.Raw)
}

// WriteDevelopmentSet writes development certificates into a directory: authority.pem,
// and for each holder ROLE-NAME.pem and ROLE-NAME.key. The authority's key is not
// stored, so no certificate can be added later. It returns the files of each
// holder.
func WriteDevelopmentSet(dir string, holders []Identity, from, until time.Time) (map[Identity]Files, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	authority, err := NewAuthority("balsamfork development", from, until)
	if err != nil {
		return nil, err
	}
	root := filepath.Join(dir, "authority.pem")
	if err := authority.Write(root); err != nil {
		return nil, err
	}
	files := make(map[Identity]Files, len(holders))
	for _, id := range holders {
		base := filepath.Join(dir, id.Role.String()+"-"+id.Name)
		f := Files{Authorities: []string{root}, Certificate: base + ".pem", Key: base + ".key"}
		if err := authority.Issue(id, from, until, f.Certificate, f.Key); err != nil {
			return nil, err
		}
		files[id] = f
	}
	return files, nil
}

func template(name string, from, until time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    from,
		NotAfter:     until,
	}, nil
}

func createCertificate(template, parent *x509.Certificate, public *ecdsa.PublicKey, key *ecdsa.PrivateKey) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, key)
	if err != nil {
		return nil, err
	}
	return x509.ParseCertificate(der)
}

// writePEM replaces a file atomically, so that a reader never sees a partial one.
func writePEM(path, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
