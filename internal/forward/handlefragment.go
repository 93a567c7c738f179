package forward

import (
	"github.com/gopacket/gopacket/layers"

	"balsamfork/internal/flow"
)

// All fragments of a packet are relayed to one instance, its fragment owner, which
// is chosen by the hash of their FragmentKey. The owner decides about the first
// fragment, which carries the ports. The owner and each instance that the first
// fragment is relayed to store their verdict and apply it to the later fragments.

// handleFirst decides about a first fragment and stores the verdict.
func (w *worker) handleFirst(now int64, buf []byte) {
	if w.relayToFragmentOwner(buf) {
		return
	}
	d := w.decoder
	if d.Packet.Origin == flow.RelayedFragment {
		d.Packet.Origin = flow.FromFabric
	}
	key, ethertype := d.Fragment.Key, d.Ethertype
	verdict := w.f.decider.Decide(now, &d.Packet)
	w.applyVerdict(verdict, buf)
	verdict = laterVerdict(verdict)
	w.f.fragmentTable.record(now, key, verdict)
	w.sendWaiting(now, verdict, ethertype)
}

// handleLater applies the verdict on the first fragment to a later one, or makes
// the later fragment wait if there is no verdict yet.
func (w *worker) handleLater(now int64, buf []byte) {
	if w.relayToFragmentOwner(buf) {
		return
	}
	key := w.decoder.Fragment.Key
	if verdict, ok := w.f.fragmentTable.lookUp(now, key); ok {
		w.applyVerdict(verdict, buf)
		return
	}
	if !w.f.fragmentTable.addWaiting(now, w.decoder) {
		w.dropped[flow.Malformed].Add(1)
		return
	}
	w.held.Add(1)
	// Another worker may have handled the first fragment in the meantime.
	if verdict, ok := w.f.fragmentTable.lookUp(now, key); ok {
		w.sendWaiting(now, verdict, w.decoder.Ethertype)
	}
}

// relayToFragmentOwner relays a fragment that came from the fabric to its fragment
// owner. It returns false if the fragment is to be handled by this instance.
func (w *worker) relayToFragmentOwner(buf []byte) bool {
	d := w.decoder
	if d.Packet.Origin != flow.FromFabric || d.Packet.Hops > 0 || w.f.config.FragmentOwner == nil {
		return false
	}
	address, remote := w.f.config.FragmentOwner(d.Fragment.Key.Hash())
	if !remote {
		return false
	}
	w.applyVerdict(flow.Verdict{Action: flow.Relay, As: flow.RelayedFragment, Address: address}, buf)
	return true
}

// laterVerdict converts the verdict on a first fragment to the one on later
// fragments, which are relayed as Steered: the first fragment has already conveyed
// a delegation or a copied placement to the next instance.
func laterVerdict(v flow.Verdict) flow.Verdict {
	if v.Action == flow.Relay {
		v.As = flow.Steered
		v.Server = 0
	}
	return v
}

// sendWaiting sends the fragments that waited for the verdict on the first one.
// It flushes before each one to make room in the writer, and after each one because
// they share a buffer.
func (w *worker) sendWaiting(now int64, v flow.Verdict, ethertype layers.EthernetType) {
	key := w.decoder.Fragment.Key
	for w.f.fragmentTable.takeWaiting(now, key, &w.waitingBuf) {
		w.flush()
		buf := w.waitingBuf.buf[:maxHeaderSize+w.waitingBuf.size]
		w.queue(v, buf, maxHeaderSize, ethertype, w.waitingBuf.hops)
		w.flush()
	}
}
