package requestpath

import (
	"context"
	"encoding/json"
	"sync"

	"balsamfork/internal/admission"
	"balsamfork/internal/fleet"
	"balsamfork/internal/peer"
	"balsamfork/internal/request"
)

// drops finds the waiter of a copy that another instance passed on.
type drops struct {
	mu      sync.Mutex
	waiters map[copyID]uint64
}

func newDrops() *drops { return &drops{waiters: make(map[copyID]uint64)} }

func (d *drops) add(c copyID, w uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiters[c] = w
}

func (d *drops) take(c copyID) (uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, found := d.waiters[c]
	delete(d.waiters, c)
	return w, found
}

func (p *Path) register(reg peer.Registry) {
	reg.Handle(peerRun, p.handleRun)
	reg.Handle(peerDrop, p.handleDrop)
	reg.Handle(peerClaim, p.handleClaim)
	reg.Handle(peerAdmit, p.handleAdmit)
	reg.Handle(peerStop, p.handleStop)
	reg.Handle(peerHold, p.handleHold)
	reg.Handle(peerRelease, p.handleRelease)
}

func (p *Path) handleRun(ctx context.Context, _ fleet.ID, raw json.RawMessage) (any, error) {
	params, err := decodeParams[runParams](raw)
	if err != nil {
		return nil, err
	}
	if params.Request == nil {
		return nil, request.InvalidError.New("request: missing")
	}
	if err := params.Request.Validate(); err != nil {
		return nil, err
	}
	w, ch := p.own(params.Request, params.Join)
	p.drops.add(params.Copy, w)
	defer p.drops.take(params.Copy)
	select {
	case r := <-ch:
		return r, nil
	case <-ctx.Done():
		p.abandon(w, false)
		return nil, ctx.Err()
	case <-p.ctx.Done():
		return nil, p.ctx.Err()
	}
}

// own hands a copy of a request to this instance as the owner of its key.
func (p *Path) own(r *request.Request, join bool) (w uint64, ch chan request.Result) {
	p.input(func(now int64) {
		w, ch = p.newResult()
		if join {
			p.owner.Join(w, r)
			return
		}
		p.owner.Run(now, w, r)
	})
	return w, ch
}

// abandon forgets a waiter; with cancel its request ends at once, without it a
// little later, unless another copy comes.
func (p *Path) abandon(w uint64, cancel bool) {
	p.input(func(now int64) {
		delete(p.results, w)
		if cancel {
			p.owner.Cancel(now, w)
			return
		}
		p.owner.Abandon(now, w)
	})
}

func (p *Path) handleDrop(_ context.Context, _ fleet.ID, raw json.RawMessage) (any, error) {
	params, err := decodeParams[dropParams](raw)
	if err != nil {
		return nil, err
	}
	if w, found := p.drops.take(params.Copy); found {
		p.abandon(w, params.Cancel)
	}
	return nil, nil
}

func (p *Path) handleClaim(_ context.Context, _ fleet.ID, raw json.RawMessage) (any, error) {
	params, err := decodeParams[claimParams](raw)
	if err != nil {
		return nil, err
	}
	return p.verdictOf(params), nil
}

func (p *Path) handleAdmit(ctx context.Context, _ fleet.ID, raw json.RawMessage) (any, error) {
	a, err := decodeAttempt(raw)
	if err != nil {
		return nil, err
	}
	var ch chan admission.Outcome
	p.input(func(now int64) {
		var w uint64
		w, ch = p.newOutcome()
		p.admitter.Admit(now, w, a)
	})
	select {
	case o := <-ch:
		return o, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.ctx.Done():
		return nil, p.ctx.Err()
	}
}

func (p *Path) handleStop(_ context.Context, _ fleet.ID, raw json.RawMessage) (any, error) {
	id, err := decodeParams[admission.AttemptID](raw)
	if err != nil {
		return nil, err
	}
	p.input(func(now int64) { p.admitter.Cancel(now, id) })
	return nil, nil
}

func (p *Path) handleHold(_ context.Context, _ fleet.ID, raw json.RawMessage) (any, error) {
	params, err := decodeParams[holdParams](raw)
	if err != nil {
		return nil, err
	}
	var r holdResult
	p.input(func(now int64) { r.Granted = p.admitter.Ask(now, params.Holder, params.Servers, params.SentAt) })
	return r, nil
}

func (p *Path) handleRelease(_ context.Context, _ fleet.ID, raw json.RawMessage) (any, error) {
	params, err := decodeParams[holdParams](raw)
	if err != nil {
		return nil, err
	}
	p.input(func(int64) { p.admitter.Release(params.Holder, params.Servers, params.SentAt) })
	return nil, nil
}
