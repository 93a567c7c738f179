package keys

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"os"
	"time"
)

// Files are the paths of one holder's PEM files. Authorities lists every trusted
// authority: two during the rotation from one to the other.
type Files struct {
	Authorities []string `json:"authorities"`
	Certificate string   `json:"certificate"`
	Key         string   `json:"key"`
}

// bundle is the content of the files after one load. It is immutable.
type bundle struct {
	roots       *x509.CertPool
	certificate tls.Certificate
	identity    Identity
}

// readBundle loads all files and checks that a peer with the same trusted
// authorities would accept the holder's certificate at the given time.
func readBundle(files Files, now time.Time) (*bundle, error) {
	roots, err := readRoots(files.Authorities)
	if err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, Unreadable.New("certificate %s with key %s: %v", files.Certificate, files.Key, err)
	}
	identity, err := verify(certificate.Leaf, nil, roots, now)
	if err != nil {
		return nil, err
	}
	return &bundle{roots: roots, certificate: certificate, identity: identity}, nil
}

func readRoots(paths []string) (*x509.CertPool, error) {
	if len(paths) == 0 {
		return nil, Unreadable.New("no authority file is configured")
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
		return Unreadable.New("authority %s contains no certificate", path)
	}
	return nil
}

// verify checks a certificate's chain to the roots at the given time and returns
// its holder, or an error of class Expired, Untrusted or NoIdentity.
func verify(cert *x509.Certificate, chain []*x509.Certificate, roots *x509.CertPool, now time.Time) (Identity, error) {
	intermediates := x509.NewCertPool()
	for _, c := range chain {
		intermediates.AddCert(c)
	}
	_, err := cert.Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return Identity{}, verificationError(cert, err)
	}
	return IdentityOf(cert)
}

func verificationError(cert *x509.Certificate, err error) error {
	name := cert.Subject.CommonName
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return Expired.New("certificate of %q is valid from %s until %s", name,
			cert.NotBefore.UTC().Format(time.RFC3339), cert.NotAfter.UTC().Format(time.RFC3339))
	}
	var unknown x509.UnknownAuthorityError
	if errors.As(err, &unknown) {
		return Untrusted.New("certificate of %q is signed by %q, which is not trusted here", name, cert.Issuer.CommonName)
	}
	return Untrusted.New("certificate of %q: %v", name, err)
}
