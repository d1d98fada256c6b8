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

// outcome is what machine.Apply returns for one command.
type outcome struct {
	result kqcontract.Result
	change *kqcontract.Change
}

// machine is the state machine to which the replica applies its log.
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

// minCompressSize is the size in bytes from which commands are compressed.
const minCompressSize = 1 << 10

// compressedMarker is the first byte of a compressed command; no CBOR map starts with it.
const compressedMarker = 0x00

// encodeCommand encodes a command for the log. Large ones are compressed, because
// documents are repetitive and are sent to every replica.
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

// maxCommandSize is the largest size of a decompressed command in bytes. A command
// can be more than twice as large as the largest document.
const maxCommandSize = 4 * kqroutes.MaxDocument

// Apply runs one command. A command that can't be decoded is refused on every host
// alike and changes nothing.
func (m *machine) Apply(data []byte) any {
	c, err := decodeCommand(data)
	if err != nil {
		return outcome{result: kqcontract.Result{Refused: kqcontract.ReasonUnknown}}
	}
	res, change := m.state.Apply(c)
	if change != nil {
		change.Proposed = c.Time.UnixMilli()
	}
	return outcome{res, change}
}

// Snapshot returns the encoded state.
func (m *machine) Snapshot() []byte {
	p, err := m.state.Encode()
	if err != nil {
		panic(errors.Wrap(err, "control: encode state")) // plain fields always encode
	}
	return p
}

// Restore replaces the state with a decoded snapshot.
func (m *machine) Restore(p []byte) error {
	s, err := kqcontract.Decode(p)
	if err != nil {
		return errors.Wrap(err, "control: decode state")
	}
	m.state = s
	return nil
}

// DesiredMembers returns the control hosts that operators set, nil if none.
func (m *machine) DesiredMembers() []kqreplica.MemberSpec {
	var list []kqreplica.MemberSpec
	for _, c := range m.state.Hosts.Control {
		list = append(list, kqreplica.MemberSpec(c))
	}
	return list
}
