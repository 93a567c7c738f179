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

// peerCallTimeout bounds a call to another instance that replies immediately.
const peerCallTimeout = time.Second

// runEffects executes the effects of the owner and of the admitter until there are
// none. Effects that wait for another process run in their own goroutines. The
// caller holds mu.
func (p *Path) runEffects() {
	for {
		ownerEffects, admissionEffects := p.owner.Effects(), p.admitter.Effects()
		if len(ownerEffects)+len(admissionEffects) == 0 || p.closed {
			return
		}
		for i := range ownerEffects {
			p.runOwnerEffect(ownerEffects[i])
		}
		for i := range admissionEffects {
			p.runAdmissionEffect(admissionEffects[i])
		}
	}
}

func (p *Path) runOwnerEffect(e keyowner.Effect) {
	switch e.Kind {
	case keyowner.Claim:
		p.call(e.To, peerCallTimeout, func(ctx context.Context) { p.sendClaim(ctx, e) })
	case keyowner.Admit:
		p.sendAttempt(e)
	case keyowner.Cancel:
		p.cancelAttempt(e)
	case keyowner.Join:
		left := time.Duration(e.Request.Deadline - p.clock.now())
		p.call(e.To, left, func(ctx context.Context) { p.queryResult(ctx, e) })
	case keyowner.Answer:
		p.completeWaiter(e.Waiter, e.Result)
	}
}

func (p *Path) runAdmissionEffect(e admission.Effect) {
	switch e.Kind {
	case admission.Dispatch:
		p.work.Go(func() { p.runAttempt(e.Attempt) })
	case admission.CancelRun:
		p.servers.cancelAttempt(e.Attempt.ID)
	case admission.Reply:
		p.sendOutcome(e.Waiter, e.Outcome)
	case admission.RequestGrant:
		p.call(e.To, peerCallTimeout, func(ctx context.Context) { p.requestGrant(ctx, e) })
	case admission.ReleaseGrant:
		p.call(e.To, peerCallTimeout, func(ctx context.Context) {
			_ = p.peers.Notify(ctx, e.To, peerRelease, e.Grant)
		})
	case admission.Report:
		p.m.countEvidence(e.Evidence.Kind)
		select {
		case p.evidenceQueue <- e.Evidence:
		default:
			p.m.evidenceDropped.Inc(1)
		}
	}
}

// call starts a goroutine for a function that waits for another instance, and
// returns the ID of the call. The function's context ends after the timeout, or once
// the instance is dead or known to have terminated. The caller holds mu.
func (p *Path) call(to fleet.ID, timeout time.Duration, f func(context.Context)) uint64 {
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
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

// update applies one input to the owner or the admitter and executes the resulting
// effects.
func (p *Path) update(f func(now int64)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.clock.now())
	p.runEffects()
}

func (p *Path) sendClaim(ctx context.Context, e keyowner.Effect) {
	var r claimResult
	if err := p.peers.Call(ctx, e.To, peerClaim, e.Claim, &r); err != nil {
		return
	}
	p.update(func(now int64) { p.owner.HandleClaimReply(now, e.Key, e.Claim, e.To, r.Verdict, r.By) })
}

func (p *Path) queryResult(ctx context.Context, e keyowner.Effect) {
	r, err := p.runRemote(ctx, e.To, e.Request, true)
	if err != nil {
		r = request.UnknownResult(request.Unreachable)
	}
	p.update(func(now int64) { p.owner.HandleJoinResult(now, e.Key, e.Claimant, r) })
}

func (p *Path) requestGrant(ctx context.Context, e admission.Effect) {
	var r holdResult
	if err := p.peers.Call(ctx, e.To, peerHold, e.Grant, &r); err != nil {
		return
	}
	p.update(func(now int64) { p.admitter.HandleGrants(now, e.To, e.Grant, r.Granted) })
}

// sendAttempt sends an attempt to the admitting instance. The caller holds mu.
func (p *Path) sendAttempt(e keyowner.Effect) {
	a := e.Attempt
	if e.To == p.self.ID {
		p.admitAttempt(a.Sent, a)
		return
	}
	left := time.Duration(a.Deadline-p.clock.now()) + p.opts.Timing.Margin
	p.callByAttempt[a.ID.Seq] = p.call(e.To, left, func(ctx context.Context) {
		if p.peers.Call(ctx, e.To, peerAdmit, a, nil) == nil {
			<-ctx.Done()
		}
		p.update(func(now int64) {
			p.recordOutcome(now, a.ID, admission.Outcome{Result: request.UnknownResult(request.Unreachable)})
		})
	})
}

// recordOutcome passes the first outcome of an attempt that was sent to another
// instance to the owner, and ignores later ones. The caller holds mu.
func (p *Path) recordOutcome(now int64, id admission.AttemptID, o admission.Outcome) {
	callID, waiting := p.callByAttempt[id.Seq]
	if !waiting || id.Owner != p.self {
		return
	}
	delete(p.callByAttempt, id.Seq)
	p.calls[callID].stop()
	p.owner.HandleOutcome(now, id, o)
}

// admitAttempt passes an attempt to the admitter. The caller holds mu.
func (p *Path) admitAttempt(now int64, a admission.Attempt) {
	p.seq++
	p.attemptByWaiter[p.seq] = a.ID
	p.admitter.Admit(now, p.seq, a)
}

// sendOutcome sends an outcome to the owner that waits for it. The caller holds mu.
func (p *Path) sendOutcome(w uint64, o admission.Outcome) {
	id := p.attemptByWaiter[w]
	delete(p.attemptByWaiter, w)
	if id.Owner == p.self {
		p.owner.HandleOutcome(p.clock.now(), id, o)
		return
	}
	p.sendReply(id.Owner.ID, peerOutcome, outcomeParams{ID: id, Outcome: o})
}

// sendReply sends a result or an outcome to the instance that waits for it. The
// caller holds mu.
func (p *Path) sendReply(to fleet.ID, method string, params any) {
	p.inProgress++
	p.call(to, replyTimeout, func(ctx context.Context) {
		p.callWithRetry(ctx, to, method, params)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.inProgress--
	})
}

// replyTimeout bounds the time in which a reply is sent and retried; replyBackoffMin
// and replyBackoffMax are the shortest and the longest delay between two tries.
const (
	replyTimeout    = 5 * time.Second
	replyBackoffMin = 50 * time.Millisecond
	replyBackoffMax = 500 * time.Millisecond
)

// callWithRetry sends a reply. While the instance is unreachable, it retries with
// exponential backoff until the reply is acknowledged or the context ends. The
// receiver uses the first copy and ignores the others.
func (p *Path) callWithRetry(ctx context.Context, to fleet.ID, method string, params any) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = replyBackoffMin
	wait.MaxInterval = replyBackoffMax
	send := func() (struct{}, error) {
		try, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		err := p.peers.Call(try, to, method, params, nil)
		if err != nil && !peer.Unreachable.Has(err) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}
	_, _ = backoff.Retry(ctx, send, backoff.WithBackOff(wait))
}

// completeWaiter passes a result to its waiter, local or at another instance. The
// caller holds mu.
func (p *Path) completeWaiter(w uint64, r request.Result) {
	if ch := p.results[w]; ch != nil {
		delete(p.results, w)
		ch <- r
		return
	}
	c, found := p.copyByWaiter[w]
	if !found {
		return
	}
	p.removeCopy(w)
	p.sendReply(c.From.ID, peerResult, resultParams{Copy: c, Result: r})
}

func (p *Path) removeCopy(w uint64) {
	delete(p.waiterByCopy, p.copyByWaiter[w])
	delete(p.copyByWaiter, w)
}

// runRemote sends a copy of a request to another instance and waits for its
// result. With join it only asks for the result of a request that was started
// there. It returns the error of the context, or of the call.
func (p *Path) runRemote(ctx context.Context, to fleet.ID, r *request.Request, join bool) (request.Result, error) {
	p.mu.Lock()
	seq, ch := p.newResultWaiter()
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
		p.sendDrop(ctx, to, c)
	}
	return request.Result{}, err
}

func (p *Path) cancelAttempt(e keyowner.Effect) {
	if e.To == p.self.ID {
		p.admitter.Cancel(p.clock.now(), e.Attempt.ID)
		return
	}
	p.call(e.To, peerCallTimeout, func(ctx context.Context) {
		_ = p.peers.Notify(ctx, e.To, peerStop, e.Attempt.ID)
	})
}

// runAttempt sends an attempt to its backend server and waits until it has ended.
func (p *Path) runAttempt(a admission.Attempt) {
	r := p.servers.runAttempt(p.ctx, a, p.opts.Timing.Margin)
	p.update(func(now int64) { p.admitter.Done(now, a.ID, r) })
}

// newResultWaiter registers a local waiter, and returns its ID and the channel that
// receives its result. The caller holds mu.
func (p *Path) newResultWaiter() (uint64, chan request.Result) {
	p.seq++
	ch := make(chan request.Result, 1)
	p.results[p.seq] = ch
	return p.seq, ch
}
