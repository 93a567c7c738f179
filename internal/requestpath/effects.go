package requestpath

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"balsamfork/internal/admission"
	"balsamfork/internal/fleet"
	"balsamfork/internal/keyowner"
	"balsamfork/internal/peer"
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
		p.answer(e.Waiter, e.Result)
	}
}

func (p *Path) admitterEffect(e admission.Effect) {
	switch e.Kind {
	case admission.Dispatch:
		p.work.Go(func() { p.run(e.Attempt) })
	case admission.CancelRun:
		p.servers.stop(e.Attempt.ID)
	case admission.Reply:
		p.replyOutcome(e.Waiter, e.Outcome)
	case admission.AskGrant:
		p.call(e.To, callFor, func(ctx context.Context) { p.hold(ctx, e) })
	case admission.ReleaseGrant:
		p.call(e.To, callFor, func(ctx context.Context) {
			_ = p.peers.Notify(ctx, e.To, peerRelease, e.Grant)
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
func (p *Path) call(to fleet.ID, most time.Duration, f func(context.Context)) uint64 {
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
	return id
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
	if err := p.peers.Call(ctx, e.To, peerClaim, e.Claim, &r); err != nil {
		return
	}
	p.input(func(now int64) { p.owner.Claimed(now, e.Key, e.Claim, e.To, r.Verdict, r.By) })
}

func (p *Path) ask(ctx context.Context, e keyowner.Effect) {
	r, err := p.remoteRun(ctx, e.To, e.Request, true)
	if err != nil {
		r = request.Unsure(request.Unreachable)
	}
	p.input(func(now int64) { p.owner.Told(now, e.Key, e.Claimant, r) })
}

func (p *Path) hold(ctx context.Context, e admission.Effect) {
	var r holdResult
	if err := p.peers.Call(ctx, e.To, peerHold, e.Grant, &r); err != nil {
		return
	}
	p.input(func(now int64) { p.admitter.Granted(now, e.To, e.Grant, r.Granted) })
}

// admit passes an attempt to the admitting instance. The caller holds mu.
func (p *Path) admit(e keyowner.Effect) {
	a := e.Attempt
	if e.To == p.self.ID {
		p.takeAttempt(a.Sent, a)
		return
	}
	left := time.Duration(a.Deadline-p.clock.now()) + p.opts.Timing.Margin
	p.waits[a.ID.Seq] = p.call(e.To, left, func(ctx context.Context) {
		if p.peers.Call(ctx, e.To, peerAdmit, a, nil) == nil {
			<-ctx.Done()
		}
		p.input(func(now int64) {
			p.outcome(now, a.ID, admission.Outcome{Result: request.Unsure(request.Unreachable)})
		})
	})
}

// outcome hands the first outcome of an attempt that was passed on to the owner's
// decisions. The caller holds mu.
func (p *Path) outcome(now int64, id admission.AttemptID, o admission.Outcome) {
	wait, waiting := p.waits[id.Seq]
	if !waiting || id.Owner != p.self {
		return
	}
	delete(p.waits, id.Seq)
	p.calls[wait].end()
	p.owner.Outcome(now, id, o)
}

// takeAttempt hands an attempt to the admission decisions. The caller holds mu.
func (p *Path) takeAttempt(now int64, a admission.Attempt) {
	p.seq++
	p.attempts[p.seq] = a.ID
	p.admitter.Admit(now, p.seq, a)
}

// replyOutcome sends an outcome to the owner that waits for it. The caller holds mu.
func (p *Path) replyOutcome(w uint64, o admission.Outcome) {
	id := p.attempts[w]
	delete(p.attempts, w)
	if id.Owner == p.self {
		p.owner.Outcome(p.clock.now(), id, o)
		return
	}
	p.reply(id.Owner.ID, peerOutcome, outcomeParams{ID: id, Outcome: o})
}

// reply sends what another instance waits for. The caller holds mu.
func (p *Path) reply(to fleet.ID, method string, params any) {
	p.busy++
	p.call(to, deliverFor, func(ctx context.Context) {
		p.deliver(ctx, to, method, params)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.busy--
	})
}

// deliverFor bounds all tries to deliver a reply; deliverFirst and deliverMost are
// the least and the most time between two of them.
const (
	deliverFor   = 5 * time.Second
	deliverFirst = 50 * time.Millisecond
	deliverMost  = 500 * time.Millisecond
)

// deliver sends a reply until it has arrived or the context ends. The receiver takes
// the first copy and drops the others.
func (p *Path) deliver(ctx context.Context, to fleet.ID, method string, params any) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = deliverFirst
	wait.MaxInterval = deliverMost
	send := func() (struct{}, error) {
		try, cancel := context.WithTimeout(ctx, callFor)
		defer cancel()
		err := p.peers.Call(try, to, method, params, nil)
		if err != nil && !peer.Unreachable.Has(err) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}
	_, _ = backoff.Retry(ctx, send, backoff.WithBackOff(wait))
}

// answer gives a result to its waiter, here or at another instance. The caller
// holds mu.
func (p *Path) answer(w uint64, r request.Result) {
	if ch := p.results[w]; ch != nil {
		delete(p.results, w)
		ch <- r
		return
	}
	c, found := p.copies[w]
	if !found {
		return
	}
	p.forgetCopy(w)
	p.reply(c.From.ID, peerResult, resultParams{Copy: c, Result: r})
}

func (p *Path) forgetCopy(w uint64) {
	delete(p.waiters, p.copies[w])
	delete(p.copies, w)
}

// remoteRun passes a copy of a request to another instance and waits for its
// result. It returns the error of the context, or of the call.
func (p *Path) remoteRun(ctx context.Context, to fleet.ID, r *request.Request, join bool) (request.Result, error) {
	p.mu.Lock()
	seq, ch := p.newResult()
	p.mu.Unlock()
	c := copyID{From: p.self, Seq: seq}
	err := p.peers.Call(ctx, to, peerRun, runParams{Copy: c, Request: r, Join: join}, nil)
	if err == nil {
		select {
		case res := <-ch:
			return res, nil
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	p.mu.Lock()
	delete(p.results, seq)
	p.mu.Unlock()
	if ctx.Err() != nil {
		p.drop(ctx, to, c)
	}
	return request.Result{}, err
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

// newResult makes a waiter of this instance. The caller holds mu.
func (p *Path) newResult() (uint64, chan request.Result) {
	p.seq++
	ch := make(chan request.Result, 1)
	p.results[p.seq] = ch
	return p.seq, ch
}
