package kqlink

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"time"

	"kumquatglade/internal/state/kqcheck"

	"github.com/cockroachdb/errors"
)

const (
	handshakeTimeout = 3 * time.Second
	nonceSize        = 16  // bytes
	maxLine          = 512 // bytes of one line
)

// handshakeMessage is one line of the handshake.
type handshakeMessage struct {
	Host  string `json:"host,omitempty"`
	Nonce string `json:"nonce,omitempty"`
	Proof string `json:"proof,omitempty"`
}

// computeProof returns an HMAC, keyed by the secret, of the role, both hosts and
// both nonces.
func computeProof(secret, role string, dialer, listener handshakeMessage) string {
	mac := hmac.New(sha256.New, []byte(secret))
	for _, s := range []string{role, dialer.Host, dialer.Nonce, listener.Host, listener.Nonce} {
		mac.Write([]byte(s))
		mac.Write([]byte{0})
	}
	return hex.EncodeToString(mac.Sum(nil))
}

func newNonce() string {
	var p [nonceSize]byte
	rand.Read(p[:]) // never fails, see crypto/rand
	return hex.EncodeToString(p[:])
}

func writeLine(c net.Conn, g handshakeMessage) error {
	p, err := json.Marshal(g)
	if err != nil {
		return err
	}
	_, err = c.Write(append(p, '\n'))
	return err
}

func readLine(r *bufio.Reader) (handshakeMessage, error) {
	var g handshakeMessage
	line, err := r.ReadSlice('\n')
	if err != nil {
		return g, err
	}
	if len(line) > maxLine {
		return g, errors.New("line too long")
	}
	return g, json.Unmarshal(line, &g)
}

// clientHandshake authenticates the listener, then this host to the listener.
func clientHandshake(c net.Conn, r *bufio.Reader, host, peer, secret string) error {
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	self := handshakeMessage{Host: host, Nonce: newNonce()}
	if err := writeLine(c, self); err != nil {
		return err
	}
	remote, err := readLine(r)
	if err != nil {
		return err
	}
	if remote.Host != peer {
		return errors.Newf("the address answers as %q", remote.Host)
	}
	if !hmac.Equal([]byte(remote.Proof), []byte(computeProof(secret, "listener", self, remote))) {
		return errors.New("wrong secret")
	}
	if err := writeLine(c, handshakeMessage{Proof: computeProof(secret, "dialer", self, remote)}); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

// serverHandshake authenticates this host to the dialer and the dialer to this
// host, and returns the dialer's name.
func serverHandshake(c net.Conn, r *bufio.Reader, host, secret string) (string, error) {
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	remote, err := readLine(r)
	if err != nil {
		return "", err
	}
	if !kqcheck.IsName(remote.Host) || remote.Host == host || len(remote.Nonce) != 2*nonceSize {
		return "", errors.New("malformed greeting")
	}
	self := handshakeMessage{Host: host, Nonce: newNonce()}
	self.Proof = computeProof(secret, "listener", remote, self)
	if err := writeLine(c, self); err != nil {
		return "", err
	}
	last, err := readLine(r)
	if err != nil {
		return "", err
	}
	if !hmac.Equal([]byte(last.Proof), []byte(computeProof(secret, "dialer", remote, self))) {
		return "", errors.Newf("wrong secret from %q", remote.Host)
	}
	return remote.Host, c.SetDeadline(time.Time{})
}
