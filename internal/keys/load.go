package keys

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"os"
	"time"
)

// Files names the PEM files of one holder. Authorities lists every authority
// that is trusted: two while one replaces the other.
type Files struct {
	Authorities []string `json:"authorities"`
	Certificate string   `json:"certificate"`
	Key         string   `json:"key"`
}

// set is what one reading of the files gave. It is immutable.
type set struct {
	roots *x509.CertPool
	own   tls.Certificate
	id    Identity
}

// read reads all files and checks that the own certificate would be accepted
// at the given time by a peer that trusts the same authorities.
func read(files Files, now time.Time) (*set, error) {
	roots, err := readRoots(files.Authorities)
	if err != nil {
		return nil, err
	}
	own, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, Unreadable.New("certificate %s with key %s: %v", files.Certificate, files.Key, err)
	}
	id, err := verify(own.Leaf, nil, roots, now)
	if err != nil {
		return nil, err
	}
	return &set{roots: roots, own: own, id: id}, nil
}

func readRoots(paths []string) (*x509.CertPool, error) {
	if len(paths) == 0 {
		return nil, Unreadable.New("no authority is named")
	}
	pool := x509.NewCertPool()
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, Unreadable.New("authority: %v", err)
		}
		if err := addRoots(pool, path, data); err != nil {
			return nil, err
		}
	}
	return pool, nil
}

func addRoots(pool *x509.CertPool, path string, data []byte) error {
	added := 0
	for {
		var block *pem.Block
		block, data = pem.Decode(data)
		if block == nil {
			break
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return Unreadable.New("authority %s: %v", path, err)
		}
		pool.AddCert(cert)
		added++
	}
	if added == 0 {
		return Unreadable.New("authority %s holds no certificate", path)
	}
	return nil
}

// verify returns the holder of a certificate that the roots vouch for at the
// given time, or an error of class Expired, Foreign or Unnamed.
func verify(cert *x509.Certificate, rest []*x509.Certificate, roots *x509.CertPool, now time.Time) (Identity, error) {
	between := x509.NewCertPool()
	for _, c := range rest {
		between.AddCert(c)
	}
	_, err := cert.Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: between,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return Identity{}, explain(cert, err)
	}
	return IdentityOf(cert)
}

func explain(cert *x509.Certificate, err error) error {
	name := cert.Subject.CommonName
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return Expired.New("certificate of %q is valid from %s until %s", name,
			cert.NotBefore.UTC().Format(time.RFC3339), cert.NotAfter.UTC().Format(time.RFC3339))
	}
	var unknown x509.UnknownAuthorityError
	if errors.As(err, &unknown) {
		return Foreign.New("certificate of %q is signed by %q, which is not trusted here", name, cert.Issuer.CommonName)
	}
	return Foreign.New("certificate of %q: %v", name, err)
}
