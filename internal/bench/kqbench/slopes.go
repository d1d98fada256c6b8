package kqbench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"kumquatglade/internal/bench/kqcaller"
	"kumquatglade/internal/bench/kqload"
	"kumquatglade/internal/bench/kqprocess"
	"kumquatglade/internal/bench/kqslope"
	"kumquatglade/internal/bench/kqtarget"
	"kumquatglade/internal/state/kqcontract"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// slopesCommand measures points on a running system, or fits lines through them.
type slopesCommand struct {
	dir, series, pointsFile string
	amount                  float64
	window, settleTime      time.Duration
	hosts                   *kqprocess.Hosts
}

func newSlopesCommand() command {
	s := &slopesCommand{window: 6 * time.Second, settleTime: 3 * time.Second, pointsFile: "slopes.jsonl"}
	return command{"slopes", "measure one point of a slope on processes, or print all slopes", s.flags, s.run}
}

func (s *slopesCommand) flags(sub *flaggy.Subcommand) {
	sub.String(&s.dir, "", "dir", "folder of settings that scripts/fleet runs")
	sub.String(&s.series, "", "series", "idle, changes, targets, contracts, calls or resolves; print if missing")
	sub.String(&s.pointsFile, "", "points", "file of measured points")
	sub.Float64(&s.amount, "", "amount", "targets, contracts, or calls a second")
	sub.Duration(&s.window, "", "window", "how long a point is measured")
}

func (s *slopesCommand) run(ctx context.Context, out io.Writer) error {
	if s.series == "" {
		f, err := os.Open(s.pointsFile)
		if err != nil {
			return err
		}
		defer f.Close()
		list, err := kqslope.Read(f)
		if err != nil {
			return err
		}
		kqslope.Print(out, list)
		return nil
	}
	var err error
	if s.hosts, err = kqprocess.Open(s.dir); err != nil {
		return err
	}
	if _, err := s.hosts.WaitServing(ctx, serveTimeout); err != nil {
		return err
	}
	return s.measure(ctx)
}

// measure puts the load of the series on the system and reads what it costs.
func (s *slopesCommand) measure(ctx context.Context) error {
	x := s.amount
	var load func(context.Context) error
	switch s.series {
	case "idle", "changes":
		x = float64(len(s.hosts.Entries))
		load = s.changeContracts
		if s.series == "idle" {
			load = noLoad
		}
	case "targets":
		load = s.announceTargets
	case "contracts":
		if err := s.addContracts(ctx); err != nil {
			return err
		}
		load = noLoad
	case "calls", "resolves":
		if err := s.applyCallContract(ctx); err != nil {
			return err
		}
		load = s.makeCalls
	default:
		return errors.Mark(errors.Newf("series %q is unknown", s.series), errUsage)
	}
	return s.measureUnderLoad(ctx, x, load)
}

func noLoad(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// under measures all hosts while the load runs.
func (s *slopesCommand) measureUnderLoad(ctx context.Context, x float64, load func(context.Context) error) error {
	loading, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- load(loading) }()
	time.Sleep(s.settleTime)
	leader := s.hosts.Leader(ctx)
	before, err := s.readCosts(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	time.Sleep(s.window)
	after, err := s.readCosts(ctx)
	if err != nil {
		return err
	}
	took := time.Since(began).Seconds()
	stop()
	if err := <-done; err != nil {
		return err
	}
	return s.appendPoints(x, took, leader, before, after)
}

func (s *slopesCommand) readCosts(ctx context.Context) (map[*kqprocess.Host]kqprocess.Cost, error) {
	out := map[*kqprocess.Host]kqprocess.Cost{}
	for _, h := range s.hosts.All() {
		c, err := h.Cost(ctx)
		if err != nil {
			return nil, err
		}
		out[h] = c
	}
	return out, nil
}

// write appends one point for each role: the mean of its hosts.
func (s *slopesCommand) appendPoints(x, took float64, leader *kqprocess.Host, before, after map[*kqprocess.Host]kqprocess.Cost) error {
	f, err := os.OpenFile(s.pointsFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	enc := json.NewEncoder(f)
	roles := []struct {
		name  string
		hosts []*kqprocess.Host
	}{{"entry", s.hosts.Entries}, {"leader", []*kqprocess.Host{leader}}, {"voter", hostsExcept(s.hosts.Control, leader)}}
	for _, r := range roles {
		p := kqslope.Point{Series: s.series, X: x, Role: r.name}
		n := float64(len(r.hosts))
		for _, h := range r.hosts {
			b, a := before[h], after[h]
			p.CPUPercent += 100 * (a.Processor - b.Processor).Seconds() / took / n
			p.MemoryMB += float64(a.Memory) / (1 << 20) / n
			p.SentRate += float64(a.Sent-b.Sent) / took / n
			p.ReceivedRate += float64(a.Received-b.Received) / took / n
		}
		if err := enc.Encode(p); err != nil {
			return err
		}
	}
	return nil
}

// changes makes 10 changes a second.
func (s *slopesCommand) changeContracts(ctx context.Context) error {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	client := kqprocess.Client(s.hosts.Control...)
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := 1; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		c := sampleContract(fmt.Sprintf("owner%d", i), 1, i)
		body, err := json.Marshal(c)
		if err != nil {
			return err
		}
		wait.Go(func() {
			var out putResult
			client.Put(context.WithoutCancel(ctx), "/v1/contracts/"+c.Owner, body, &out) // the rate is what counts
		})
	}
}

// contracts accepts so many contracts of the usual size.
func (s *slopesCommand) addContracts(ctx context.Context) error {
	for i := range int(s.amount) {
		c := sampleContract(fmt.Sprintf("owner%d", i), 1, i)
		for len(c.Services) < 4 {
			more := c.Services[0]
			more.Name = fmt.Sprintf("service%d", len(c.Services))
			c.Services = append(c.Services, more)
		}
		if _, err := putUntilKnown(ctx, c, "", s.hosts.Control...); err != nil {
			return err
		}
	}
	return nil
}

// targets announces so many targets each second, spread over the entry hosts.
func (s *slopesCommand) announceTargets(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var wait sync.WaitGroup
	for i := range int(s.amount) {
		entry := s.hosts.Entries[i%len(s.hosts.Entries)].Settings.Listen.Calls
		wait.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(s.amount))
			announceTarget(ctx, client, entry, i)
		})
	}
	wait.Wait()
	return nil
}

func announceTarget(ctx context.Context, client *http.Client, entry string, i int) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	epoch := time.Now().UnixNano()
	for seq := 1; ; seq++ {
		body := fmt.Sprintf(`{"service":"s%d","id":"t%d","addr":"127.0.0.1:%d","domain":"a","slots":4,"connections":220,"state":"ready","load":%d,"epoch":%d,"seq":%d}`,
			i/16, i, 1+i%60000, seq%4, epoch, seq)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/targets", bytes.NewReader([]byte(body)))
		if err != nil {
			return
		}
		if res, err := client.Do(req); err == nil {
			io.Copy(io.Discard, res.Body) // only the cost counts
			res.Body.Close()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// prepareCalls grants the calls of the series.
func (s *slopesCommand) applyCallContract(ctx context.Context) error {
	c := kqcontract.Contract{Owner: "bench", Version: 1, Services: []kqcontract.Service{{
		Name: "echo", Idempotent: []string{"GET"}, Deadline: kqcontract.Duration(5 * time.Second),
		Rate: 1e6, Burst: 1e5, Active: 1e5, Queue: 1e4, Share: 1, Retries: 10, Body: 1 << 20,
	}}}
	_, err := putUntilKnown(ctx, c, "?wait=10s", s.hosts.Control...)
	return err
}

// calls makes calls or resolve requests through the first entry host.
func (s *slopesCommand) makeCalls(ctx context.Context) error {
	entry := s.hosts.Entries[0].Settings.Listen.Calls
	target, err := kqtarget.Start(kqtarget.Config{
		Service: "echo", ID: "echo-1", Addr: "127.0.0.1:0", Domain: "a", Slots: 1000, Connections: 4000, Queue: 1000,
		Entries: []string{entry},
	})
	if err != nil {
		return err
	}
	defer target.Kill()
	time.Sleep(time.Second)
	caller := kqcaller.New(kqcaller.Config{Owner: "bench", Service: "echo", Entries: []string{entry}})
	defer caller.Close()
	kqload.Run(ctx, kqload.Config{
		Rate: s.amount, Duration: s.window + time.Minute, Seed: 1,
		Call: func(ctx context.Context, _ int) kqload.Outcome {
			if s.series == "resolves" {
				caller.Resolve(ctx) // only the cost counts
				return kqload.Done
			}
			return callEcho(ctx, caller, entry, 200)
		},
	})
	return nil
}
