package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
)

// Table is what one instance knows of the fleet. All times are nanoseconds of Unix
// time on a clock that does not go back. It is not safe for concurrent use.
type Table struct {
	params Params
	self   *row
	rows   rows
	random *rand.Rand

	after  []fleet.ID
	before []fleet.ID
	// watchers are who heartbeats go to: those after this one on the rings, and
	// while one of them is suspected its stand-ins.
	watchers []fleet.ID
	// moved is set when the neighbours have to be found anew.
	moved bool

	watches  []watch
	contacts []contact
	seeds    []fleet.Instance
	conds    conditions
	fresh    []pendingUpdate
	queued   []Outgoing
	newer    []VersionOf

	epoch     uint64
	viewDirty bool
	started   int64
	lastTick  int64
	changed   int64
	nextBeat  int64
	nextSeek  int64
	nextSync  int64
	// verdictsFrom is when instances may be found dead again after a pause.
	verdictsFrom int64
	synced       bool
}

// New makes a table that knows only its own instance. Self.Incarnation is the
// start time in milliseconds of Unix time, so that it grows with each start.
func New(self fleet.Instance, p Params, seed uint64, now int64) *Table {
	self.State = fleet.Joining
	t := &Table{
		params:    p,
		random:    rand.New(rand.NewPCG(seed, self.Incarnation)),
		started:   now,
		lastTick:  now,
		changed:   now,
		viewDirty: true,
		moved:     true,
	}
	t.self = t.rows.insert(self)
	t.nextBeat = now + t.random.Int64N(int64(p.Heartbeat))
	t.nextSeek = now
	return t
}

// Seed gives the instances that the platform lists. Those that are not known are
// sought; none is believed until it answers, and none is dropped for being absent.
func (t *Table) Seed(list []fleet.Instance) {
	t.seeds = t.seeds[:0]
	for _, i := range list {
		if i.ID != t.self.ID {
			t.seeds = append(t.seeds, i)
		}
	}
}

// SetApplied says which version this instance serves by. It never goes back.
func (t *Table) SetApplied(now int64, v config.Version) {
	if v <= t.self.Applied {
		return
	}
	t.self.Applied = v
	t.touch(now, t.self)
	t.spread(Update{Kind: Progress, Instance: t.self.Instance}, "")
}

// Leave announces that this instance is leaving.
func (t *Table) Leave(now int64) {
	if t.self.State >= fleet.Leaving {
		return
	}
	t.setState(now, t.self, fleet.Leaving)
	t.spread(Update{Kind: Progress, Instance: t.self.Instance}, "")
}

// Finish announces that this instance has left: the others need not suspect it.
func (t *Table) Finish(now int64) {
	if t.self.State == fleet.Dead {
		return
	}
	t.refreshNeighbours(now)
	t.setState(now, t.self, fleet.Dead)
	t.spread(Update{Kind: Progress, Instance: t.self.Instance, Final: true}, "")
}

// Announce gives the fleet a condition of a backend server.
func (t *Table) Announce(now int64, a flow.Announcement) {
	if t.conds.merge(a) {
		t.changed = now
		t.fresh = append(t.fresh, pendingUpdate{announcement: &a})
	}
}

// Announcements returns all conditions that are known, in order of Server.
func (t *Table) Announcements() []flow.Announcement { return slices.Clone(t.conds.list) }

// Address returns where an instance takes control messages, from the table or,
// if it is not there, from the platform's list.
func (t *Table) Address(id fleet.ID) (fleet.Instance, bool) {
	if x := t.rows.get(id); x != nil {
		return x.Instance, true
	}
	for _, s := range t.seeds {
		if s.ID == id {
			return s, true
		}
	}
	return fleet.Instance{}, false
}

// Digest returns a value that is equal in tables that agree.
func (t *Table) Digest() uint64 { return t.rows.digest ^ t.conds.digest }

// Joined reports whether this instance has learnt the table from a peer, or has
// waited long enough for one; alone says that it was the latter.
func (t *Table) Joined(now int64) (joined, alone bool) {
	waited := now-t.started >= int64(t.params.Join)
	return t.synced || waited, !t.synced
}

// Tick runs the systems and returns what has to be sent and what has changed.
func (t *Table) Tick(now int64) Outcome {
	t.forgivePause(now)
	t.join(now)
	t.refreshNeighbours(now)
	t.beat(now)
	t.watchSystem(now)
	t.suspicionSystem(now)
	t.seek(now)
	t.forget(now)
	t.refreshNeighbours(now)
	t.flush(now)
	out := Outcome{Send: t.queued, Newer: t.newer, Announcements: t.conds.takeNews()}
	t.queued, t.newer = nil, nil
	if t.viewDirty {
		out.View = t.View()
		t.viewDirty = false
	}
	return out
}

// View returns a snapshot of the table.
func (t *Table) View() *fleet.View {
	v := &fleet.View{Self: t.self.ID, Epoch: t.epoch, Instances: make([]fleet.Instance, len(t.rows.list))}
	for at, x := range t.rows.list {
		v.Instances[at] = x.Instance
		if x.suspicion != nil && x.State == fleet.Alive {
			v.Instances[at].State = fleet.Suspect
		}
	}
	return v
}

// forgivePause gives the watched more time if this instance itself stood still,
// and reads what came in meanwhile before it finds anyone dead.
func (t *Table) forgivePause(now int64) {
	gap := now - t.lastTick
	t.lastTick = now
	if gap < int64(t.params.Pause) {
		return
	}
	for n := range t.watches {
		t.watches[n].heard += gap
		t.watches[n].probed = 0
	}
	t.verdictsFrom = now + int64(t.params.Confirm)
}

// join makes this instance usable once it serves by a configuration and has
// learnt the table, or found nobody to learn it from.
func (t *Table) join(now int64) {
	joined, _ := t.Joined(now)
	if t.self.State != fleet.Joining || !joined || t.self.Applied == 0 {
		return
	}
	t.setState(now, t.self, fleet.Alive)
	t.spread(Update{Kind: Whole, Instance: t.self.Instance}, "")
}

func (t *Table) refreshNeighbours(now int64) {
	if !t.moved || t.self.State == fleet.Dead {
		return
	}
	t.moved = false
	known := t.watchers
	t.after, t.before = nil, nil
	t.lookAround()
	t.greet(known)
	t.rewatch(now)
}

// lookAround finds the neighbours on the rings.
func (t *Table) lookAround() {
	c := t.rows.circles()
	watchers := c.watchers(t.self)
	for _, x := range watchers {
		t.after = append(t.after, x.ID)
	}
	t.before = c.watched(t.self)
	t.watchers = append(slices.Clone(t.after), c.standIns(t.self, watchers)...)
}

func (t *Table) setState(now int64, x *row, s fleet.State) {
	x.State = s
	t.epoch++
	t.moved = true
	t.touch(now, x)
}

// touch notes that a row has changed.
func (t *Table) touch(now int64, x *row) {
	t.rows.rehash(x)
	t.changed = now
	t.viewDirty = true
}

func (t *Table) send(to fleet.ID, m Message) {
	m.Incarnation = t.self.Incarnation
	m.Applied = t.self.Applied
	t.queued = append(t.queued, Outgoing{To: to, Message: m})
}

func due(now, since int64, d time.Duration) bool { return now-since >= int64(d) }
