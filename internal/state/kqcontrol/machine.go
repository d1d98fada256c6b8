package kqcontrol

import (
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqreplica"

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

var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // options are fixed at compile time
	}
	return mode
}()

func encodeCommand(c kqcontract.Command) ([]byte, error) {
	return encoding.Marshal(c)
}

// Apply runs one command; one that does not decode changes nothing on any host.
func (m *machine) Apply(data []byte) any {
	var c kqcontract.Command
	if err := cbor.Unmarshal(data, &c); err != nil {
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
func (m *machine) Wanted() []kqreplica.Want {
	var list []kqreplica.Want
	for _, c := range m.state.Hosts.Control {
		list = append(list, kqreplica.Want(c))
	}
	return list
}
