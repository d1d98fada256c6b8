package kqmodel

import "time"

// Config is one service under one load.
type Config struct {
	Domains []string // failure domains, over which hosts and targets are spread
	Hosts   int      // entry hosts
	Targets int
	Slots   int // requests that a target works on at once
	Queue   int // requests that wait at it before it sheds

	Rate      float64 // first tries a second
	Work      time.Duration
	Spread    float64       // of the work, as a standard deviation of its logarithm
	Objective time.Duration // within which an answer is worth most
	Patience  time.Duration // of a caller, over all its tries
	Timeout   time.Duration // of the route, for one try
	Attempts  int           // targets that one try may be sent to
	Tries     int           // of a caller that is refused

	NoiseShare float64       // of the time in which a target's machine is slow
	NoiseSlow  float64       // how many times slower it is then
	NoiseEvery time.Duration // between two draws of that
	Knee       float64       // share of busy slots above which a target gets slower, 0: it does not
	KneeSlow   float64       // how many times slower
	Questions  float64       // a target may be asked a second, by all hosts

	Near, Far, Client time.Duration // one way: in a failure domain, between two, to callers

	Dial     time.Duration // a target's part in a new connection; with 0 connections cost nothing
	KeepIdle time.Duration // for which an idle connection is used again for a question or a request
	Once     bool          // requests run at most once: they take no connection that was idle for over OnceIdle
	OnceIdle time.Duration

	ColdRate float64 // requests per second that a target handles after the restart of Fault.Cold, 0: no limit

	Preferred int // targets that a host prefers, 0: those of its failure domain

	Classes        []Class // of requests, in place of Rate, Work, Objective, Patience and Timeout; empty: one
	ConnectedFirst bool    // targets with an idle connection are asked first
	LeastCost      bool    // less urgent requests leave room to urgent ones, as kqselection.Admission decides

	Fault    Fault
	From     time.Duration // when the fault begins
	For      time.Duration
	Duration time.Duration
	Seed     uint64
}

// Class is a group of requests to the service that have the same priority.
type Class struct {
	Name      string
	Priority  int // 0 is the most urgent
	Rate      float64
	Work      time.Duration
	Objective time.Duration
	Patience  time.Duration
	Timeout   time.Duration
	Upload    time.Duration // of the body over the host's link; 0: there is none
	Steady    bool          // Fault.Burst does not apply
}

// classes returns the classes of requests, of which there is at least one.
func (c *Config) classes() []Class {
	if len(c.Classes) > 0 {
		return c.Classes
	}
	return []Class{{Rate: c.Rate, Work: c.Work, Objective: c.Objective, Patience: c.Patience, Timeout: c.Timeout}}
}

// Fault is what happens to a service from Config.From on.
type Fault struct {
	Name     string
	Burst    float64       // times the rate, 0: as usual
	AtOnce   bool          // refused callers repeat at once
	Share    float64       // of the targets to which the rest happens
	Slow     float64       // times slower, 0: as usual
	FailFast bool          // they reject everything at once
	Shed     float64       // share of requests that they reject although they have room
	Cold     float64       // times slower after a restart at From, 0: no restart
	Dark     float64       // share of the hosts that end at From
	Outage   time.Duration // before the play, in which no host was there: its callers come back within returnWithin
	Return   float64       // seconds of requests that come back in the first second of the play
}

// Faults are the patterns that a policy is compared under.
func Faults() []Fault {
	return []Fault{
		{Name: "calm"},
		{Name: "burst", Burst: 1.8},
		{Name: "slow", Share: 0.4, Slow: 12},
		{Name: "failfast", Share: 0.15, FailFast: true},
		{Name: "shed", Share: 1, Shed: 0.55},
		{Name: "cold", Share: 0.4, Cold: 2},
		{Name: "dark", Dark: 0.5},
		{Name: "return", Return: 1.5},
	}
}

// base is what both deployments have in common.
func base() Config {
	return Config{
		Spread: 0.3, Attempts: 2, Tries: 3, NoiseSlow: 5, NoiseEvery: 150 * time.Millisecond, Questions: 60,
		Near: 100 * time.Microsecond, Far: 500 * time.Microsecond,
		From: 5 * time.Second, For: 6 * time.Second, Duration: 20 * time.Second,
	}
}

// Hoanglien is the reading service of the first deployment: few slots, and slow
// when nearly full.
func Hoanglien() Config {
	c := base()
	c.Domains, c.Hosts, c.Targets, c.Slots, c.Queue = []string{"a", "b", "c"}, 13, 13, 4, 8
	c.Rate, c.Work, c.Objective, c.Patience, c.Timeout = 94.9, 120*time.Millisecond, 300*time.Millisecond, 2500*time.Millisecond, 1200*time.Millisecond
	c.NoiseShare, c.Knee, c.KneeSlow, c.Client = 0.25, 0.8, 1.7, time.Millisecond
	return c
}

// Schetsbord is the map service of the second one: slower machines more often,
// and slots that may be filled.
func Schetsbord() Config {
	c := base()
	c.Domains, c.Hosts, c.Targets, c.Slots, c.Queue = []string{"a", "b", "c", "d"}, 16, 16, 6, 24
	c.Rate, c.Work, c.Objective, c.Patience, c.Timeout = 218, 95*time.Millisecond, 250*time.Millisecond, 2*time.Second, time.Second
	c.NoiseShare, c.Client = 0.35, 3*time.Millisecond
	return c
}

// Large is the reading service of the first deployment on hundreds of hosts: each sees
// two requests a second.
func Large() Config {
	c := base()
	c.Domains, c.Hosts, c.Targets, c.Slots, c.Queue = []string{"a", "b", "c", "d", "e"}, 312, 257, 4, 8
	c.Rate, c.Work, c.Objective, c.Patience, c.Timeout = 534, 430*time.Millisecond, time.Second, 10*time.Second, 4*time.Second
	c.NoiseShare, c.Knee, c.KneeSlow, c.Client = 0.25, 0.8, 1.7, 3*time.Millisecond
	c.Near, c.Far = 200*time.Microsecond, 900*time.Microsecond
	c.Dial, c.KeepIdle, c.OnceIdle = time.Millisecond, 8*time.Second, 500*time.Millisecond
	return c
}

// SharedService is a service with two classes of requests, each of which a host sees once in
// a few seconds. Most hosts have links on which a body of the less urgent class takes a
// quarter of a second.
func SharedService() Config {
	c := base()
	c.Domains, c.Hosts, c.Targets, c.Slots, c.Queue = []string{"a", "b", "c"}, 128, 32, 2, 4
	c.NoiseShare, c.Client = 0.3, 8*time.Millisecond
	c.Near, c.Far = 200*time.Microsecond, 900*time.Microsecond
	c.Dial, c.KeepIdle, c.OnceIdle = time.Millisecond, 8*time.Second, 500*time.Millisecond
	c.Preferred = 8
	c.Classes = []Class{
		{Name: "urgent", Priority: 0, Rate: 29, Work: 180 * time.Millisecond, Objective: 500 * time.Millisecond, Patience: 5 * time.Second, Timeout: 2500 * time.Millisecond, Steady: true},
		{Name: "patient", Priority: 2, Rate: 27, Work: 260 * time.Millisecond, Objective: 4 * time.Second, Patience: 12 * time.Second, Timeout: 8 * time.Second, Upload: 240 * time.Millisecond},
	}
	c.For, c.Duration = 12*time.Second, 25*time.Second
	return c
}

// OwnerBurst is the load in which the owner of the less urgent class of SharedService sends
// more than its targets can run, and its callers repeat at once.
func OwnerBurst() Fault { return Fault{Name: "owner", Burst: 5.5, AtOnce: true} }

// LargeOnce is one of its small services, whose requests run at most once.
func LargeOnce() Config {
	c := Large()
	c.Targets, c.Rate, c.Work, c.Objective, c.Patience = 30, 75, 340*time.Millisecond, 800*time.Millisecond, 8*time.Second
	c.Once = true
	return c
}

// Crowded is the reading service of a deployment of 128 small hosts, with targets of two
// slots that are nearly all in use.
func Crowded() Config {
	c := base()
	c.Domains, c.Hosts, c.Targets, c.Slots, c.Queue = []string{"a", "b", "c"}, 128, 60, 2, 4
	c.Rate, c.Work, c.Objective, c.Patience, c.Timeout = 280, 200*time.Millisecond, time.Second, 8*time.Second, 4*time.Second
	c.NoiseShare, c.Client, c.Far = 0.3, 8*time.Millisecond, 900*time.Microsecond
	return c
}
