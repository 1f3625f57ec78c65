// Package testcerts issues certificates for tests and the stand-ins.
package testcerts

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const validity = 24 * time.Hour

// Authority is a certificate authority.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New creates an authority and writes its certificate to NAME.pem in the folder.
func New(folder, name string) (*Authority, error) {
	a := &Authority{}
	template := template(name)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage |= x509.KeyUsageCertSign
	var err error
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		return nil, err
	}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		return nil, err
	}
	return a, write(filepath.Join(folder, name+".pem"), "CERTIFICATE", der)
}

// Issue writes a certificate that is valid for the name and the addresses, and its key,
// to NAME.pem and NAME.key in the folder.
func (a *Authority) Issue(folder, name string, addresses ...net.IP) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	leaf := template(name)
	leaf.IPAddresses = addresses
	der, err := x509.CreateCertificate(rand.Reader, leaf, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := write(filepath.Join(folder, name+".pem"), "CERTIFICATE", der); err != nil {
		return err
	}
	return write(filepath.Join(folder, name+".key"), "EC PRIVATE KEY", private)
}

func template(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func write(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
