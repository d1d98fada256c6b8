package kqbench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"kumquatglade/internal/admin/kqclient"
	"kumquatglade/internal/bench/kqprocess"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqcontrol"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// Bounds of the issue.
const (
	maxRestartTime    = 2 * time.Second
	maxFailoverTime   = 3 * time.Second
	maxInForceTime    = time.Second
	maxDataFolderSize = 64 << 20 // bytes of a data folder
	serveTimeout      = 30 * time.Second
)

// contractsCommand proves what was accepted on a system of processes.
type contractsCommand struct {
	dir            string
	changes        int
	crashes        int
	races          int
	leaderKills    int
	freezeTime     time.Duration
	out            io.Writer
	hosts          *kqprocess.Hosts
	missedBounds   []string
	contentSeq     int
	mu             sync.Mutex
	acceptedHashes map[string]map[uint64]string // owner, version, hash
	lastVersion    map[string]uint64
}

func newContractsCommand() command {
	c := &contractsCommand{
		changes: 1000, crashes: 5, races: 500, leaderKills: 10, freezeTime: 2 * time.Minute,
		acceptedHashes: map[string]map[uint64]string{}, lastVersion: map[string]uint64{},
	}
	return command{"contracts", "accepted changes under kill -9, races, leader kills and a frozen control host", c.flags, c.run}
}

func (c *contractsCommand) flags(s *flaggy.Subcommand) {
	s.String(&c.dir, "", "dir", "folder of settings that scripts/fleet runs")
	s.Int(&c.changes, "", "changes", "changes between two kills of all control hosts")
	s.Int(&c.crashes, "", "crashes", "kills of all control hosts")
	s.Int(&c.races, "", "races", "rounds of two operators with equal versions")
	s.Int(&c.leaderKills, "", "kills", "kills of the leader")
	s.Duration(&c.freezeTime, "", "frozen", "how long a control host is frozen")
}

func (c *contractsCommand) run(ctx context.Context, out io.Writer) error {
	var err error
	if c.hosts, err = kqprocess.Open(c.dir); err != nil {
		return err
	}
	c.out = out
	if _, err := c.hosts.WaitServing(ctx, serveTimeout); err != nil {
		return err
	}
	for _, part := range []func(context.Context) error{c.testInForceTime, c.testLeaderKills, c.testRaces, c.testCrashes, c.testFrozenFollower} {
		if err := part(ctx); err != nil {
			return err
		}
	}
	if len(c.missedBounds) > 0 {
		return errors.Newf("missed: %v", c.missedBounds)
	}
	return nil
}

func (c *contractsCommand) printCheck(ok bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	word := "holds "
	if !ok {
		word = "MISSED"
		c.missedBounds = append(c.missedBounds, text)
	}
	fmt.Fprintf(c.out, "%s  %s\n", word, text)
}

// accept applies the next version of the owner until the outcome is known.
func (c *contractsCommand) acceptNextVersion(ctx context.Context, owner, query string, hosts ...*kqprocess.Host) (putResult, error) {
	c.mu.Lock()
	c.contentSeq++
	contract := sampleContract(owner, c.lastVersion[owner]+1, c.contentSeq)
	c.mu.Unlock()
	out, err := putUntilKnown(ctx, contract, query, hosts...)
	if err != nil {
		return out, err
	}
	c.recordAccepted(owner, out.Version, out.Hash)
	return out, nil
}

func (c *contractsCommand) recordAccepted(owner string, version uint64, hash string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.acceptedHashes[owner] == nil {
		c.acceptedHashes[owner] = map[uint64]string{}
	}
	c.acceptedHashes[owner][version] = hash
	c.lastVersion[owner] = max(c.lastVersion[owner], version)
}

// change is the answer to an accepted change.
type putResult struct {
	kqcontract.Accepted
	Repeated bool             `json:"repeat"`
	InForce  *kqcontrol.Reach `json:"inforce"`
}

// put repeats a change until its outcome is known.
func putUntilKnown(ctx context.Context, contract kqcontract.Contract, query string, hosts ...*kqprocess.Host) (putResult, error) {
	body, err := json.Marshal(contract)
	if err != nil {
		return putResult{}, err
	}
	for {
		var out putResult
		err := kqprocess.Client(hosts...).Put(ctx, "/v1/contracts/"+contract.Owner+query, body, &out)
		if !errors.Is(err, kqclient.ErrUnknown) || ctx.Err() != nil {
			return out, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *contractsCommand) testInForceTime(ctx context.Context) error {
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	for range 300 {
		began := time.Now()
		out, err := c.acceptNextVersion(ctx, "spread", "?wait=10s", c.hosts.Control...)
		if err != nil {
			return err
		}
		took := time.Since(began)
		if out.InForce == nil || out.InForce.Hosts != len(c.hosts.Entries) {
			took = time.Minute
		}
		h.RecordValue(int64(took)) // within the bounds
	}
	p99 := time.Duration(h.ValueAtPercentile(99))
	c.printCheck(p99 <= maxInForceTime, "sent to in force on %d entry hosts, 300 changes: p50 %s p99 %s (bound %s)", len(c.hosts.Entries),
		time.Duration(h.ValueAtPercentile(50)).Round(time.Microsecond), p99.Round(time.Microsecond), maxInForceTime)
	return nil
}

func (c *contractsCommand) testLeaderKills(ctx context.Context) error {
	var worst time.Duration
	for range c.leaderKills {
		l := c.hosts.Leader(ctx)
		if l == nil {
			return errors.New("no leader")
		}
		if err := l.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		began := time.Now()
		if _, err := c.acceptNextVersion(ctx, "again", "", hostsExcept(c.hosts.Control, l)...); err != nil {
			return err
		}
		worst = max(worst, time.Since(began))
		if _, err := c.hosts.WaitServing(ctx, serveTimeout); err != nil {
			return err
		}
	}
	c.printCheck(worst <= maxFailoverTime, "kill -9 of the leader, %d times: accepted again after at most %s (bound %s)", c.leaderKills, worst.Round(time.Millisecond), maxFailoverTime)
	return nil
}

func hostsExcept(list []*kqprocess.Host, not *kqprocess.Host) []*kqprocess.Host {
	var out []*kqprocess.Host
	for _, h := range list {
		if h != not {
			out = append(out, h)
		}
	}
	return out
}

// raceRounds lets two operators write the same version through different hosts
// with kills of the leader in between, and resends both afterwards.
func (c *contractsCommand) testRaces(ctx context.Context) error {
	double, lost := 0, 0
	for round := range c.races {
		if round%25 == 24 {
			if l := c.hosts.Leader(ctx); l != nil {
				l.Signal(syscall.SIGKILL) // it may be down already
			}
		}
		won, resent, err := c.race(ctx, uint64(round+1))
		if err != nil {
			return err
		}
		if won != 1 {
			double++
		}
		if !resent {
			lost++
		}
	}
	c.printCheck(double == 0, "two operators with equal versions, %d rounds with leader kills: %d versions without exactly one content", c.races, double)
	c.printCheck(lost == 0, "resends after that: %d did not get their original answer", lost)
	return nil
}

// race returns how many of the two contents were accepted, and whether their
// resends got the same answers again.
func (c *contractsCommand) race(ctx context.Context, version uint64) (won int, resent bool, err error) {
	var wait sync.WaitGroup
	var first, again [2]putResult
	var errs, errs2 [2]error
	contracts := [2]kqcontract.Contract{}
	for i := range 2 {
		contracts[i] = sampleContract("raced", version, 2*int(version)+i)
		host := c.hosts.Control[(i+int(version))%len(c.hosts.Control)]
		wait.Go(func() {
			first[i], errs[i] = putUntilKnown(ctx, contracts[i], "", append([]*kqprocess.Host{host}, c.hosts.Control...)...)
		})
	}
	wait.Wait()
	resent = true
	for i := range 2 {
		again[i], errs2[i] = putUntilKnown(ctx, contracts[i], "", c.hosts.Control...)
		if (errs[i] == nil) != (errs2[i] == nil) || errs[i] == nil && !again[i].Time.Equal(first[i].Time) {
			resent = false
		}
		if errs[i] != nil {
			var no *kqclient.RefusedError
			if !errors.As(errs[i], &no) || no.Reason != kqcontract.ReasonTaken {
				return 0, false, errs[i]
			}
			continue
		}
		won++
		c.recordAccepted("raced", version, first[i].Hash)
	}
	return won, resent, nil
}

// crashAll kills all control hosts at a random moment under changes.
func (c *contractsCommand) testCrashes(ctx context.Context) error {
	var slowest time.Duration
	for range c.crashes {
		if err := c.crashUnderLoad(ctx); err != nil {
			return err
		}
		took, err := c.hosts.WaitServing(ctx, serveTimeout)
		if err != nil {
			return err
		}
		slowest = max(slowest, took)
	}
	return c.checkHistory(ctx, slowest)
}

// crashOnce writes changes from four operators and kills in the middle.
func (c *contractsCommand) crashUnderLoad(ctx context.Context) error {
	var wait sync.WaitGroup
	errs := make(chan error, 4)
	part := c.changes / 4
	for i := range 4 {
		wait.Go(func() {
			for range part {
				if _, err := c.acceptNextVersion(ctx, fmt.Sprintf("owner%d", i), "", c.hosts.Control...); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
	for _, h := range c.hosts.Control {
		h.Signal(syscall.SIGKILL) // it is running
	}
	wait.Wait()
	select {
	case err := <-errs:
		return err
	default:
	}
	for _, h := range c.hosts.Control {
		h.Signal(syscall.SIGKILL) // it is running
	}
	return nil
}

// compare reads the history and the digests of all control hosts.
func (c *contractsCommand) checkHistory(ctx context.Context, slowest time.Duration) error {
	lost, digests, size := 0, map[string]int{}, int64(0)
	total := 0
	for _, h := range c.hosts.Control {
		var doc kqcontrol.Document
		if err := kqprocess.Client(h).Get(ctx, "/v1/contracts", &doc); err != nil {
			return err
		}
		digests[doc.Digest]++
		var list []kqcontract.Accepted
		if err := kqprocess.Client(h).Get(ctx, "/v1/history", &list); err != nil {
			return err
		}
		have := map[string]string{}
		for _, a := range list {
			have[fmt.Sprint(a.Owner, a.Version)] = a.Hash
		}
		total = 0
		for owner, versions := range c.acceptedHashes {
			for v, hash := range versions {
				if v+kqcontract.KeptVersions <= c.lastVersion[owner] {
					continue // beyond the stated bound of the history
				}
				total++
				if have[fmt.Sprint(owner, v)] != hash {
					lost++
				}
			}
		}
		size = max(size, h.FolderSize())
	}
	c.printCheck(lost == 0, "kill -9 of all control hosts, %d times under %d changes: %d of %d acknowledged changes lost", c.crashes, c.changes, lost, total)
	c.printCheck(len(digests) == 1, "state digests on %d control hosts: %d different", len(c.hosts.Control), len(digests))
	c.printCheck(slowest <= maxRestartTime, "all hosts serve again after at most %s (bound %s)", slowest.Round(time.Millisecond), maxRestartTime)
	c.printCheck(size <= maxDataFolderSize, "largest data folder: %d bytes (bound %d)", size, maxDataFolderSize)
	return nil
}

// freeze stops one control host that does not lead for a long time, as a
// silent cut in both ways would, and lets it go on.
func (c *contractsCommand) testFrozenFollower(ctx context.Context) error {
	l := c.hosts.Leader(ctx)
	if l == nil {
		return errors.New("no leader")
	}
	before, err := l.Status(ctx)
	if err != nil {
		return err
	}
	victim := hostsExcept(c.hosts.Control, l)[0]
	if err := victim.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	seen, back := map[string]uint64{}, 0
	until := time.Now().Add(c.freezeTime)
	thawed := false
	for !thawed || time.Now().Before(until) {
		if !thawed && time.Now().After(until) {
			if err := victim.Signal(syscall.SIGCONT); err != nil {
				return err
			}
			thawed, until = true, time.Now().Add(10*time.Second)
		}
		if _, err := c.acceptNextVersion(ctx, "frozen", "", l); err != nil {
			return err
		}
		back += c.countRegressed(ctx, seen)
		time.Sleep(500 * time.Millisecond)
	}
	after, err := l.Status(ctx)
	if err != nil {
		return err
	}
	same := after.Replica != nil && after.Replica.Role == "leader" && after.Replica.Term == before.Replica.Term
	c.printCheck(same, "a control host frozen for %s and back: the leader stays in its term: %v", c.freezeTime, same)
	c.printCheck(back == 0, "entry hosts that went back a revision meanwhile: %d", back)
	return nil
}

// stepBack counts entry hosts whose revision is lower than seen before.
func (c *contractsCommand) countRegressed(ctx context.Context, seen map[string]uint64) int {
	n := 0
	for _, h := range c.hosts.Entries {
		s, err := h.Status(ctx)
		if err != nil {
			continue
		}
		if s.Revision < seen[s.Host] {
			n++
		}
		seen[s.Host] = s.Revision
	}
	return n
}
