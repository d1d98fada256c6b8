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
	maxLine          = 512 // bytes of one handshake line
)

// greeting is one line of the handshake.
type handshakeMessage struct {
	Host  string `json:"host,omitempty"`
	Nonce string `json:"nonce,omitempty"`
	Proof string `json:"proof,omitempty"`
}

// prove binds the secret to the direction, both hosts and both nonces.
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
	rand.Read(p[:]) // never fails
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

// dialSide proves this host to the listener and wants its proof first.
func clientHandshake(c net.Conn, r *bufio.Reader, host, peer, secret string) error {
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	me := handshakeMessage{Host: host, Nonce: newNonce()}
	if err := writeLine(c, me); err != nil {
		return err
	}
	other, err := readLine(r)
	if err != nil {
		return err
	}
	if other.Host != peer {
		return errors.Newf("the address answers as %q", other.Host)
	}
	if !hmac.Equal([]byte(other.Proof), []byte(computeProof(secret, "listener", me, other))) {
		return errors.New("wrong secret")
	}
	if err := writeLine(c, handshakeMessage{Proof: computeProof(secret, "dialer", me, other)}); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

// listenSide proves this host and returns the proven name of the dialer.
func serverHandshake(c net.Conn, r *bufio.Reader, host, secret string) (string, error) {
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	other, err := readLine(r)
	if err != nil {
		return "", err
	}
	if !kqcheck.IsName(other.Host) || other.Host == host || len(other.Nonce) != 2*nonceSize {
		return "", errors.New("malformed greeting")
	}
	me := handshakeMessage{Host: host, Nonce: newNonce()}
	me.Proof = computeProof(secret, "listener", other, me)
	if err := writeLine(c, me); err != nil {
		return "", err
	}
	last, err := readLine(r)
	if err != nil {
		return "", err
	}
	if !hmac.Equal([]byte(last.Proof), []byte(computeProof(secret, "dialer", other, me))) {
		return "", errors.Newf("wrong secret from %q", other.Host)
	}
	return other.Host, c.SetDeadline(time.Time{})
}
