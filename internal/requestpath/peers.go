package requestpath

import (
	"context"
	"encoding/json"

	"balsamfork/internal/admission"
	"balsamfork/internal/fleet"
	"balsamfork/internal/keyowner"
	"balsamfork/internal/peer"
	"balsamfork/internal/request"
)

func (p *Path) register(reg peer.Registry) {
	reg.Handle(peerRun, p.handleRun)
	reg.Handle(peerDrop, p.handleDrop)
	reg.Handle(peerClaim, p.handleClaim)
	reg.Handle(peerAdmit, p.handleAdmit)
	reg.Handle(peerStop, p.handleStop)
	reg.Handle(peerHold, p.handleHold)
	reg.Handle(peerRelease, p.handleRelease)
	reg.Handle(peerResult, p.handleResult)
	reg.Handle(peerOutcome, p.handleOutcome)
}

func (p *Path) handleRun(_ context.Context, _ fleet.ID, raw json.RawMessage) (any, error) {
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
	p.update(func(now int64) {
		if _, duplicate := p.waiterByCopy[params.Copy]; duplicate {
			return
		}
		p.seq++
		p.copyByWaiter[p.seq], p.waiterByCopy[params.Copy] = params.Copy, p.seq
		if params.Join {
			p.owner.Join(p.seq, params.Request)
			return
		}
		p.owner.Run(now, p.seq, params.Request)
	})
	return nil, nil
}

func (p *Path) handleResult(_ context.Context, _ fleet.ID, raw json.RawMessage) (any, error) {
	params, err := decodeParams[resultParams](raw)
	if err != nil {
		return nil, err
	}
	if err := params.Result.Validate(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch := p.results[params.Copy.Seq]; ch != nil && params.Copy.From == p.self {
		delete(p.results, params.Copy.Seq)
		ch <- params.Result
	}
	return nil, nil
}

func (p *Path) handleOutcome(_ context.Context, _ fleet.ID, raw json.RawMessage) (any, error) {
	params, err := decodeParams[outcomeParams](raw)
	if err != nil {
		return nil, err
	}
	if err := params.Outcome.Result.Validate(); err != nil {
		return nil, err
	}
	p.update(func(now int64) { p.recordOutcome(now, params.ID, params.Outcome) })
	return nil, nil
}

// runOwned runs a copy of a request on this instance as the owner of its key.
func (p *Path) runOwned(r *request.Request) (w uint64, ch chan request.Result) {
	p.update(func(now int64) {
		w, ch = p.newResultWaiter()
		p.owner.Run(now, w, r)
	})
	return w, ch
}

// abandonWaiter removes a waiter. With cancel its request is cancelled immediately;
// otherwise it is cancelled after keyowner.AbandonGrace, unless another copy
// arrives.
func (p *Path) abandonWaiter(w uint64, cancel bool) {
	p.update(func(now int64) {
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
	p.mu.Lock()
	w, found := p.waiterByCopy[params.Copy]
	if found {
		p.removeCopy(w)
	}
	p.mu.Unlock()
	if found {
		p.abandonWaiter(w, params.Cancel)
	}
	return nil, nil
}

func (p *Path) handleClaim(_ context.Context, _ fleet.ID, raw json.RawMessage) (any, error) {
	params, err := decodeParams[keyowner.ClaimRequest](raw)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	v, by := p.owner.RecordClaim(p.clock.now(), params)
	return claimResult{Verdict: v, By: by}, nil
}

func (p *Path) handleAdmit(_ context.Context, _ fleet.ID, raw json.RawMessage) (any, error) {
	a, err := decodeAttempt(raw)
	if err != nil {
		return nil, err
	}
	p.update(func(now int64) { p.admitAttempt(now, a) })
	return nil, nil
}

func (p *Path) handleStop(_ context.Context, _ fleet.ID, raw json.RawMessage) (any, error) {
	id, err := decodeParams[admission.AttemptID](raw)
	if err != nil {
		return nil, err
	}
	p.update(func(now int64) { p.admitter.Cancel(now, id) })
	return nil, nil
}

func (p *Path) handleHold(_ context.Context, _ fleet.ID, raw json.RawMessage) (any, error) {
	params, err := decodeParams[admission.GrantRequest](raw)
	if err != nil {
		return nil, err
	}
	var r holdResult
	p.update(func(now int64) { r.Granted = p.admitter.HandleGrantRequest(now, params) })
	return r, nil
}

func (p *Path) handleRelease(_ context.Context, _ fleet.ID, raw json.RawMessage) (any, error) {
	params, err := decodeParams[admission.GrantRequest](raw)
	if err != nil {
		return nil, err
	}
	p.update(func(int64) { p.admitter.Release(params) })
	return nil, nil
}
