package requestpath

import (
	"context"
	"time"

	"balsamfork/internal/admission"
	"balsamfork/internal/atmostonce"
	"balsamfork/internal/fleet"
	"balsamfork/internal/keyowner"
	"balsamfork/internal/request"
)

// callFor bounds a message to another instance that is answered at once.
const callFor = time.Second

// flush carries out the effects of both systems until there are none. The caller
// holds mu. What waits for another process runs in a goroutine of its own.
func (p *Path) flush() {
	for {
		own, adm := p.owner.Effects(), p.admitter.Effects()
		if len(own)+len(adm) == 0 || p.closed {
			return
		}
		for i := range own {
			p.ownerEffect(own[i])
		}
		for i := range adm {
			p.admitterEffect(adm[i])
		}
	}
}

func (p *Path) ownerEffect(e keyowner.Effect) {
	switch e.Kind {
	case keyowner.Claim:
		p.call(e.To, callFor, func(ctx context.Context) { p.claim(ctx, e) })
	case keyowner.Admit:
		p.admit(e)
	case keyowner.Cancel:
		p.cancelAttempt(e)
	case keyowner.Ask:
		left := time.Duration(e.Request.Deadline - p.clock.now())
		p.call(e.To, left, func(ctx context.Context) { p.ask(ctx, e) })
	case keyowner.Answer:
		if ch := p.results[e.Waiter]; ch != nil {
			delete(p.results, e.Waiter)
			ch <- e.Result
		}
	}
}

func (p *Path) admitterEffect(e admission.Effect) {
	switch e.Kind {
	case admission.Dispatch:
		p.work.Go(func() { p.run(e.Attempt) })
	case admission.CancelRun:
		p.servers.stop(e.Attempt.ID)
	case admission.Reply:
		if ch := p.outcomes[e.Waiter]; ch != nil {
			delete(p.outcomes, e.Waiter)
			ch <- e.Outcome
		}
	case admission.AskGrant:
		p.call(e.To, callFor, func(ctx context.Context) { p.hold(ctx, e) })
	case admission.ReleaseGrant:
		p.call(e.To, callFor, func(ctx context.Context) {
			_ = p.peers.Notify(ctx, e.To, peerRelease, holdParams{Holder: p.self, Servers: e.Servers, SentAt: e.SentAt})
		})
	case admission.Report:
		p.m.evidence(e.Evidence.Kind)
		select {
		case p.reports <- e.Evidence:
		default:
			p.m.unreported.Inc(1)
		}
	}
}

// call runs a function that waits for another instance. Its context ends after the
// time, or once the instance is known to be dead. The caller holds mu.
func (p *Path) call(to fleet.ID, most time.Duration, f func(context.Context)) {
	ctx, cancel := context.WithTimeout(p.ctx, most)
	p.seq++
	id := p.seq
	p.calls[id] = call{to: to, cancel: cancel}
	p.work.Go(func() {
		f(ctx)
		cancel()
		p.mu.Lock()
		delete(p.calls, id)
		p.mu.Unlock()
	})
}

// input runs one input of the decisions and carries out what follows.
func (p *Path) input(f func(now int64)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.clock.now())
	p.flush()
}

func (p *Path) claim(ctx context.Context, e keyowner.Effect) {
	var r claimResult
	params := claimParams{High: e.Hash.Hi, Low: e.Hash.Lo, Created: e.Created, Claimant: e.Claimant}
	if err := p.peers.Call(ctx, e.To, peerClaim, params, &r); err != nil {
		return
	}
	p.input(func(now int64) { p.owner.Claimed(now, e.Key, e.Claimant, e.To, r.Verdict, r.By) })
}

func (p *Path) ask(ctx context.Context, e keyowner.Effect) {
	r := request.Unsure(request.Unreachable)
	params := runParams{Copy: p.newCopy(), Request: e.Request, Join: true}
	if err := p.peers.Call(ctx, e.To, peerRun, params, &r); err != nil || r.Validate() != nil {
		r = request.Unsure(request.Unreachable)
	}
	p.input(func(now int64) { p.owner.Told(now, e.Key, e.Claimant, r) })
}

func (p *Path) hold(ctx context.Context, e admission.Effect) {
	var r holdResult
	params := holdParams{Holder: p.self, Servers: e.Servers, SentAt: e.SentAt}
	if err := p.peers.Call(ctx, e.To, peerHold, params, &r); err != nil {
		return
	}
	p.input(func(now int64) { p.admitter.Granted(now, e.To, e.SentAt, r.Servers) })
}

// admit passes an attempt to the admitting instance. The caller holds mu.
func (p *Path) admit(e keyowner.Effect) {
	a := e.Attempt
	if e.To == p.self.ID {
		w, ch := p.newOutcome()
		p.admitter.Admit(a.Sent, w, a)
		p.work.Go(func() {
			select {
			case o := <-ch:
				p.input(func(now int64) { p.owner.Outcome(now, a.ID, o) })
			case <-p.ctx.Done():
			}
		})
		return
	}
	left := time.Duration(a.Deadline-p.clock.now()) + p.opts.Timing.Margin
	p.call(e.To, left, func(ctx context.Context) {
		var o admission.Outcome
		err := p.peers.Call(ctx, e.To, peerAdmit, a, &o)
		if err != nil || o.Result.Validate() != nil {
			o = admission.Outcome{Result: request.Unsure(request.Unreachable)}
		}
		p.input(func(now int64) { p.owner.Outcome(now, a.ID, o) })
	})
}

func (p *Path) cancelAttempt(e keyowner.Effect) {
	if e.To == p.self.ID {
		p.admitter.Cancel(p.clock.now(), e.Attempt.ID)
		return
	}
	p.call(e.To, callFor, func(ctx context.Context) {
		_ = p.peers.Notify(ctx, e.To, peerStop, e.Attempt.ID)
	})
}

// run sends an attempt to its backend server and waits for the end.
func (p *Path) run(a admission.Attempt) {
	r := p.servers.run(p.ctx, a, p.opts.Timing.Margin)
	p.input(func(now int64) { p.admitter.Done(now, a.ID, r) })
}

func (p *Path) newOutcome() (uint64, chan admission.Outcome) {
	p.seq++
	ch := make(chan admission.Outcome, 1)
	p.outcomes[p.seq] = ch
	return p.seq, ch
}

func (p *Path) newResult() (uint64, chan request.Result) {
	p.seq++
	ch := make(chan request.Result, 1)
	p.results[p.seq] = ch
	return p.seq, ch
}

func (p *Path) newCopy() copyID {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	return copyID{From: p.self, Seq: p.seq}
}

// verdictOf answers a claim as a member of the key's group.
func (p *Path) verdictOf(c claimParams) claimResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, by := p.claims.Claim(p.clock.now(), atmostonce.KeyHash{Hi: c.High, Lo: c.Low}, c.Created, c.Claimant)
	return claimResult{Verdict: v, By: by}
}
