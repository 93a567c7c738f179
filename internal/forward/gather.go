package forward

import (
	"github.com/gopacket/gopacket/layers"

	"balsamfork/internal/flow"
)

// All fragments of a packet go to one instance, chosen by what they share. It
// decides about the first, which carries the ports, and every instance on the
// way from there remembers the verdict; the later fragments follow it.

// handleFirst decides about a first fragment and remembers the verdict.
func (w *worker) handleFirst(now int64, slot []byte) {
	if w.gather(slot) {
		return
	}
	d := w.decoder
	if d.Packet.Origin == flow.Gathered {
		d.Packet.Origin = flow.FromFabric
	}
	key, ethertype := d.Fragment.Key, d.Ethertype
	verdict := w.f.decider.Decide(now, &d.Packet)
	w.apply(verdict, slot)
	verdict = following(verdict)
	w.f.fragments.remember(now, key, verdict)
	w.release(now, verdict, ethertype)
}

// handleLater sends a later fragment where the first one went.
func (w *worker) handleLater(now int64, slot []byte) {
	if w.gather(slot) {
		return
	}
	key := w.decoder.Fragment.Key
	if verdict, ok := w.f.fragments.find(now, key); ok {
		w.apply(verdict, slot)
		return
	}
	if !w.f.fragments.hold(now, w.decoder) {
		w.dropped[flow.Malformed].Add(1)
		return
	}
	w.held.Add(1)
	// Another worker may have seen the first fragment in the meantime.
	if verdict, ok := w.f.fragments.find(now, key); ok {
		w.release(now, verdict, w.decoder.Ethertype)
	}
}

// gather relays a fragment from the fabric to the instance that remembers it,
// and returns false if that is this one.
func (w *worker) gather(slot []byte) bool {
	d := w.decoder
	if d.Packet.Origin != flow.FromFabric || d.Packet.Hops > 0 || w.f.config.Gather == nil {
		return false
	}
	address, elsewhere := w.f.config.Gather(d.Fragment.Key.Hash())
	if !elsewhere {
		return false
	}
	w.apply(flow.Verdict{Action: flow.Relay, As: flow.Gathered, Address: address}, slot)
	return true
}

// following turns the verdict on a first fragment into that on later ones:
// what the first one announced to the next instance is not announced again.
func following(v flow.Verdict) flow.Verdict {
	if v.Action == flow.Relay {
		v.As = flow.Steered
		v.Server = 0
	}
	return v
}

// release sends the fragments that waited for the first one.
func (w *worker) release(now int64, v flow.Verdict, ethertype layers.EthernetType) {
	key := w.decoder.Fragment.Key
	for w.f.fragments.take(now, key, &w.waited) {
		w.flush()
		buf := w.waited.buf[:headerRoom+w.waited.size]
		w.send(v, buf, headerRoom, ethertype, w.waited.hops)
		w.flush()
	}
}
