package kqcontrol

import (
	"bytes"
	"compress/flate"
	"io"

	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqreplica"
	"kumquatglade/internal/state/kqroutes"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// outcome is what the machine returns for one command.
type outcome struct {
	result kqcontract.Result
	change *kqcontract.Change
}

// machine drives the state of contracts by the replica's log.
type machine struct {
	state *kqcontract.State
}

var encodingMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // options are fixed at compile time
	}
	return mode
}()

// packLeast is the size in bytes from which a command is compressed.
const minCompressSize = 1 << 10

// packed marks a compressed command; no CBOR map begins so.
const compressedMarker = 0x00

// encodeCommand writes a command as the log keeps it: documents repeat
// themselves, and travel to every replica.
func encodeCommand(c kqcontract.Command) ([]byte, error) {
	p, err := encodingMode.Marshal(c)
	if err != nil || len(p) < minCompressSize {
		return p, err
	}
	out := bytes.NewBuffer([]byte{compressedMarker})
	w, err := flate.NewWriter(out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(p); err != nil {
		return nil, err
	}
	err = w.Close()
	return out.Bytes(), err
}

func decodeCommand(data []byte) (kqcontract.Command, error) {
	var c kqcontract.Command
	if len(data) > 0 && data[0] == compressedMarker {
		p, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxCommandSize))
		if err != nil {
			return c, err
		}
		data = p
	}
	return c, cbor.Unmarshal(data, &c)
}

// maxCommand bounds a command in bytes, twice the largest document and some.
const maxCommandSize = 4 * kqroutes.MaxDocument

// Apply runs one command; one that does not decode changes nothing on any host.
func (m *machine) Apply(data []byte) any {
	c, err := decodeCommand(data)
	if err != nil {
		return outcome{result: kqcontract.Result{Refused: kqcontract.ReasonUnknown}}
	}
	res, change := m.state.Apply(c)
	return outcome{res, change}
}

// Snapshot encodes the whole state.
func (m *machine) Snapshot() []byte {
	p, err := m.state.Encode()
	if err != nil {
		panic(errors.Wrap(err, "control: encode state")) // plain fields always encode
	}
	return p
}

// Restore replaces the whole state.
func (m *machine) Restore(p []byte) error {
	s, err := kqcontract.Decode(p)
	if err != nil {
		return errors.Wrap(err, "control: decode state")
	}
	m.state = s
	return nil
}

// Wanted returns the control hosts that operators set, nil before they did.
func (m *machine) DesiredMembers() []kqreplica.MemberSpec {
	var list []kqreplica.MemberSpec
	for _, c := range m.state.Hosts.Control {
		list = append(list, kqreplica.MemberSpec(c))
	}
	return list
}
