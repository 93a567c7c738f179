package demo

import (
	"context"
	"sync"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/standin/backend"
	"balsamfork/internal/standin/caller"
)

// How long each phase lasts beyond the changes in it.
const (
	steadyTime  = 3 * time.Second
	drainTime   = 9 * time.Second
	outTime     = 4 * time.Second
	backTime    = 5 * time.Second
	storeTime   = 3 * time.Second
	killTime    = 5 * time.Second
	misreadTime = 4 * time.Second
	afterTime   = 3 * time.Second
	// openTimeout bounds how long all flows take to open.
	openTimeout = 20 * time.Second
	// openShare is the share of flows that must be open; the short ones come and go.
	openShare = 0.97
)

// play runs the phases in order.
func (r *run) play(ctx context.Context) error {
	for _, p := range []struct {
		name string
		part func(context.Context) error
	}{
		{"start", r.start},
		{"open flows", r.open},
		{"steady", r.steady},
		{"drain, join and replace an instance", r.drainJoinReplace},
		{"data centre out", r.takeOut},
		{"data centre back", r.bringBack},
		{"store gone while an instance starts", r.storeGone},
		{"instance killed", r.kill},
		{"health misread", r.misread},
		{"undrain", r.undrain},
	} {
		if err := r.phase(p.name, func() error { return p.part(ctx) }); err != nil {
			return Error.New("%s: %v", p.name, err)
		}
	}
	return nil
}

func (r *run) start(ctx context.Context) error {
	for _, plan := range r.deployment.Services {
		for i := range plan.Servers {
			if _, err := r.startServer(plan, r.deployment.dataCentre(i)); err != nil {
				return err
			}
		}
	}
	accepted, err := r.apply(ctx)
	if err != nil {
		return err
	}
	for i := range r.deployment.Instances {
		if _, err := r.startInstance(ctx, r.deployment.dataCentre(i)); err != nil {
			return err
		}
	}
	for _, d := range r.daemons {
		if err := r.admit(ctx, d); err != nil {
			return err
		}
	}
	_, err = r.inForce(ctx, accepted)
	return err
}

func (r *run) open(ctx context.Context) error {
	c := caller.Config{
		Seed: r.options.Seed, Sockets: sockets, FirstAddress: callerAddress, OpenTime: r.scaled(openTime),
		Pause: r.scaled(flowPause), ShortShare: shortShare, ShortLife: shortLife, Excused: r.excused,
	}
	want := 0
	for _, plan := range r.deployment.Services {
		flows := plan.Servers * r.options.FlowsPerServer
		want += flows
		c.Services = append(c.Services, caller.Service{Name: plan.Name, Address: plan.Address, Protocol: config.TCP, Flows: flows})
	}
	var err error
	if r.callers, err = caller.Start(c, r.fabric); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, r.scaled(openTimeout))
	defer cancel()
	r.buyers = newBuyers(r.world, r.options.RequestsPerSecond)
	if err := r.buyers.warmUp(limited); err != nil {
		r.result.violate("%v", err)
	}
	r.result.FirstAnswerSeconds = time.Since(r.began).Seconds()
	r.buyers.start()
	err = r.callers.Wait(limited, func(map[string]caller.Counts) bool {
		return float64(r.totals().Live()) >= openShare*float64(want)
	})
	if err != nil {
		r.result.violate("%d of %d flows are open after %s", r.totals().Live(), want, r.scaled(openTimeout))
	}
	return ctx.Err()
}

func (r *run) steady(ctx context.Context) error {
	err := r.hold(ctx, steadyTime)
	r.result.Imbalance = r.imbalance()
	return err
}

// change applies what the operator wants now and waits until it is in force.
func (r *run) change(ctx context.Context) (time.Time, error) {
	accepted, err := r.apply(ctx)
	if err != nil {
		return accepted, err
	}
	took, err := r.inForce(ctx, accepted)
	r.result.ConfigSeconds = max(r.result.ConfigSeconds, took.Seconds())
	r.say("  in force everywhere after %s", took.Round(time.Millisecond))
	if err != nil {
		r.result.violate("%v", err)
	}
	return accepted, nil
}

// drainJoinReplace drains one backend server and lets another join, while an
// instance is replaced.
func (r *run) drainJoinReplace(ctx context.Context) error {
	leaving := r.servers[r.choices.drained]
	leaving.state = config.Draining
	fresh, err := r.startServer(leaving.service, r.choices.joins)
	if err != nil {
		return err
	}
	var replaced sync.WaitGroup
	var replaceErr error
	replaced.Go(func() { replaceErr = r.replace(ctx, r.choices.replaced) })
	before := r.opened(leaving.service.Name)
	accepted, err := r.change(ctx)
	if err == nil {
		err = r.hold(ctx, rampDuration)
	}
	r.result.FreshShare = freshShare(fresh.name, before, r.opened(leaving.service.Name), leaving.name)
	if err == nil {
		err = r.hold(ctx, drainTime-rampDuration)
	}
	replaced.Wait()
	if last := leaving.flows.Counts().LastOpened; last.After(accepted) {
		r.result.DrainSeconds = last.Sub(accepted).Seconds()
	}
	if err != nil {
		return err
	}
	return replaceErr
}

// opened returns how many flows each backend server of a service has opened.
func (r *run) opened(service string) map[string]uint64 {
	opened := make(map[string]uint64)
	for _, s := range r.servers {
		if s.service.Name == service {
			opened[s.name] = s.flows.Counts().Opened
		}
	}
	return opened
}

// freshShare compares the new flows of a fresh backend server with the mean of
// the others, but for one that leaves.
func freshShare(fresh string, before, after map[string]uint64, leaving string) float64 {
	var sum, n uint64
	for name := range after {
		if name != fresh && name != leaving {
			sum += after[name] - before[name]
			n++
		}
	}
	if sum == 0 {
		return 0
	}
	return float64(after[fresh]-before[fresh]) * float64(n) / float64(sum)
}

// replace starts an instance, then stops another of the same data centre. The
// fabric notices a little after the other has begun to leave.
func (r *run) replace(ctx context.Context, dataCentre string) error {
	old := r.take(dataCentre)
	next, err := r.startInstance(ctx, dataCentre)
	if err != nil {
		return err
	}
	if err := r.admit(ctx, next); err != nil {
		return err
	}
	lag := time.AfterFunc(fabricLag, func() { r.fabric.Remove(old.id) })
	defer lag.Stop()
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	began := time.Now()
	err = old.Stop(ctx)
	r.fabric.Remove(old.id)
	r.say("  instance %s replaced, its shutdown took %s", old.id, time.Since(began).Round(time.Millisecond))
	return err
}

func (r *run) takeOut(ctx context.Context) error {
	name := r.choices.out
	r.setOutage(name, outage{out: time.Now()})
	accepted, err := r.change(ctx)
	if err == nil {
		err = r.hold(ctx, outTime)
	}
	if last := r.lastPacket(name); last.After(accepted) {
		r.result.TakeoutSeconds = last.Sub(accepted).Seconds()
	}
	return err
}

// bringBack returns the data centre, while the store loses the answer to the
// write.
func (r *run) bringBack(ctx context.Context) error {
	r.store.LoseAnswers(1)
	name := r.choices.out
	o := r.outages[name]
	o.back = time.Now()
	r.setOutage(name, o)
	if _, err := r.change(ctx); err != nil {
		return err
	}
	return r.hold(ctx, backTime)
}

func (r *run) setOutage(name string, o outage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outages[name] = o
}

func (r *run) storeGone(ctx context.Context) error {
	r.store.SetDown(true)
	defer r.store.SetDown(false)
	d, err := r.startInstance(ctx, r.choices.starts)
	if err != nil {
		return err
	}
	if err := r.admit(ctx, d); err != nil {
		return err
	}
	return r.hold(ctx, storeTime)
}

func (r *run) kill(ctx context.Context) error {
	d := r.take(r.choices.killed)
	r.ledger.crash(time.Now())
	d.Kill()
	lag := time.AfterFunc(fabricLag, func() { r.fabric.Remove(d.id) })
	defer lag.Stop()
	defer r.fabric.Remove(d.id)
	return r.hold(ctx, killTime)
}

// misread lets the health endpoint of a backend server say that it fails, and
// then that it does not, while it serves all along.
func (r *run) misread(ctx context.Context) error {
	endpoint := r.servers[r.choices.misread].flows
	endpoint.SetHealth(backend.Health{Status: backend.Failing})
	defer endpoint.SetHealth(backend.Health{Status: backend.OK})
	return r.hold(ctx, misreadTime)
}

func (r *run) undrain(ctx context.Context) error {
	r.servers[r.choices.drained].state = config.Active
	if _, err := r.change(ctx); err != nil {
		return err
	}
	return r.hold(ctx, afterTime)
}
