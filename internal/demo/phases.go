package demo

import (
	"context"
	"sync"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/standin/backend"
	"balsamfork/internal/standin/caller"
)

// How long the traffic continues in each phase, in addition to the time that its
// changes take.
const (
	steadyTime      = 3 * time.Second
	drainTime       = 9 * time.Second
	takeoutTime     = 4 * time.Second
	returnTime      = 5 * time.Second
	storeOutageTime = 3 * time.Second
	killTime        = 5 * time.Second
	healthFaultTime = 4 * time.Second
	undrainTime     = 3 * time.Second
	// openTimeout is the maximum time until the flows are open.
	openTimeout = 20 * time.Second
	// openShare is the fraction of flows that must be open. It is less than 1 because
	// short flows are closed and replaced all the time.
	openShare = 0.97
)

// runPhases runs the phases in order.
func (r *run) runPhases(ctx context.Context) error {
	for _, p := range []struct {
		name string
		body func(context.Context) error
	}{
		{"start", r.start},
		{"open flows", r.openFlows},
		{"steady", r.steadyState},
		{"drain, join and replace an instance", r.drainJoinReplace},
		{"data centre out", r.takeOutDataCentre},
		{"data centre back", r.returnDataCentre},
		{"store gone while an instance starts", r.storeOutage},
		{"instance killed", r.killInstance},
		{"health misread", r.healthFault},
		{"undrain", r.undrain},
	} {
		if err := r.phase(p.name, func() error { return p.body(ctx) }); err != nil {
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
		if err := r.addWhenReady(ctx, d); err != nil {
			return err
		}
	}
	_, err = r.waitInForce(ctx, accepted)
	return err
}

func (r *run) openFlows(ctx context.Context) error {
	c := caller.Config{
		Seed: r.options.Seed, Sockets: callerSockets, FirstAddress: callerAddress, OpenTime: r.scaled(openTime),
		MeanInterval: r.scaled(meanInterval), ShortShare: shortShare, ShortLife: shortLife, ExpectedBreak: r.breakExpected,
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
	r.loadGenerator = newLoadGenerator(r.environment, r.options.RequestsPerSecond)
	if err := r.loadGenerator.warmUp(limited); err != nil {
		r.result.addViolation("%v", err)
	}
	r.result.FirstAnswerSeconds = time.Since(r.began).Seconds()
	r.loadGenerator.start()
	err = r.callers.Wait(limited, func(map[string]caller.Counts) bool {
		return float64(r.totals().Live()) >= openShare*float64(want)
	})
	if err != nil {
		r.result.addViolation("%d of %d flows are open after %s", r.totals().Live(), want, r.scaled(openTimeout))
	}
	return ctx.Err()
}

func (r *run) steadyState(ctx context.Context) error {
	err := r.sleep(ctx, steadyTime)
	r.result.Imbalance = r.imbalance()
	return err
}

// applyAndWait applies the current target configuration and waits until it is in
// force. It returns the time at which the configuration was accepted.
func (r *run) applyAndWait(ctx context.Context) (time.Time, error) {
	accepted, err := r.apply(ctx)
	if err != nil {
		return accepted, err
	}
	took, err := r.waitInForce(ctx, accepted)
	r.result.ConfigSeconds = max(r.result.ConfigSeconds, took.Seconds())
	r.logf("  configuration in force at all instances after %s", took.Round(time.Millisecond))
	if err != nil {
		r.result.addViolation("%v", err)
	}
	return accepted, nil
}

// drainJoinReplace drains one backend server and adds another, while an instance is
// replaced.
func (r *run) drainJoinReplace(ctx context.Context) error {
	drained := r.servers[r.scenario.drainedServer]
	drained.state = config.Draining
	fresh, err := r.startServer(drained.service, r.scenario.joining)
	if err != nil {
		return err
	}
	var replaced sync.WaitGroup
	var replaceErr error
	replaced.Go(func() { replaceErr = r.replaceInstance(ctx, r.scenario.replaced) })
	before := r.openedByServer(drained.service.Name)
	accepted, err := r.applyAndWait(ctx)
	if err == nil {
		err = r.sleep(ctx, rampDuration)
	}
	r.result.FreshShare = freshShare(fresh.name, before, r.openedByServer(drained.service.Name), drained.name)
	if err == nil {
		err = r.sleep(ctx, drainTime-rampDuration)
	}
	replaced.Wait()
	if last := drained.flowServer.Counts().LastOpened; last.After(accepted) {
		r.result.DrainSeconds = last.Sub(accepted).Seconds()
	}
	if err != nil {
		return err
	}
	return replaceErr
}

// openedByServer returns the number of flows opened at each backend server of a
// service.
func (r *run) openedByServer(service string) map[string]uint64 {
	openedByServer := make(map[string]uint64)
	for _, s := range r.servers {
		if s.service.Name == service {
			openedByServer[s.name] = s.flowServer.Counts().Opened
		}
	}
	return openedByServer
}

// freshShare returns the number of new flows at a fresh backend server over their
// mean at the others, except the one that is drained.
func freshShare(fresh string, before, after map[string]uint64, drained string) float64 {
	var sum, n uint64
	for name := range after {
		if name != fresh && name != drained {
			sum += after[name] - before[name]
			n++
		}
	}
	if sum == 0 {
		return 0
	}
	return float64(after[fresh]-before[fresh]) * float64(n) / float64(sum)
}

// replaceInstance starts an instance, then stops another of the same data centre. The
// fabric stops sending to the other only fabricDelay after it has begun to shut down.
func (r *run) replaceInstance(ctx context.Context, dataCentre string) error {
	old := r.removeInstance(dataCentre)
	next, err := r.startInstance(ctx, dataCentre)
	if err != nil {
		return err
	}
	if err := r.addWhenReady(ctx, next); err != nil {
		return err
	}
	timer := time.AfterFunc(fabricDelay, func() { r.fabric.Remove(old.id) })
	defer timer.Stop()
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	began := time.Now()
	err = old.Stop(ctx)
	r.fabric.Remove(old.id)
	r.logf("  instance %s replaced; its shutdown took %s", old.id, time.Since(began).Round(time.Millisecond))
	return err
}

func (r *run) takeOutDataCentre(ctx context.Context) error {
	name := r.scenario.takenOut
	r.setOutage(name, outage{takenOut: time.Now()})
	accepted, err := r.applyAndWait(ctx)
	if err == nil {
		err = r.sleep(ctx, takeoutTime)
	}
	if last := r.lastPacket(name); last.After(accepted) {
		r.result.TakeoutSeconds = last.Sub(accepted).Seconds()
	}
	return err
}

// returnDataCentre returns the data centre to service, while the store applies a
// write but loses the response to it.
func (r *run) returnDataCentre(ctx context.Context) error {
	r.store.LoseResponses(1)
	name := r.scenario.takenOut
	o := r.outages[name]
	o.returned = time.Now()
	r.setOutage(name, o)
	if _, err := r.applyAndWait(ctx); err != nil {
		return err
	}
	return r.sleep(ctx, returnTime)
}

func (r *run) setOutage(name string, o outage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outages[name] = o
}

func (r *run) storeOutage(ctx context.Context) error {
	r.store.SetDown(true)
	defer r.store.SetDown(false)
	d, err := r.startInstance(ctx, r.scenario.starting)
	if err != nil {
		return err
	}
	if err := r.addWhenReady(ctx, d); err != nil {
		return err
	}
	return r.sleep(ctx, storeOutageTime)
}

func (r *run) killInstance(ctx context.Context) error {
	d := r.removeInstance(r.scenario.killed)
	r.requestLog.recordCrash(time.Now())
	d.Kill()
	timer := time.AfterFunc(fabricDelay, func() { r.fabric.Remove(d.id) })
	defer timer.Stop()
	defer r.fabric.Remove(d.id)
	return r.sleep(ctx, killTime)
}

// healthFault makes the health endpoint of a backend server report a failure, and
// later a recovery, while the server serves throughout.
func (r *run) healthFault(ctx context.Context) error {
	faulty := r.servers[r.scenario.healthFault].flowServer
	faulty.SetHealth(backend.Health{Status: backend.Failing})
	defer faulty.SetHealth(backend.Health{Status: backend.OK})
	return r.sleep(ctx, healthFaultTime)
}

func (r *run) undrain(ctx context.Context) error {
	r.servers[r.scenario.drainedServer].state = config.Active
	if _, err := r.applyAndWait(ctx); err != nil {
		return err
	}
	return r.sleep(ctx, undrainTime)
}
