package member

import (
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
)

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	// Gossip carries only updates and announcements.
	Gossip Kind = iota + 1
	// Heartbeat is sent to the watchers of the sender, with a digest of its table.
	Heartbeat
	// Ping requests an Ack; Subject is the instance that requested the probe, if any.
	Ping
	// Ack answers a Ping and repeats its Subject.
	Ack
	// PingRequest asks the receiver to send a Ping to Subject on the sender's behalf.
	PingRequest
	// IndirectAck reports that Subject has answered a Ping sent for a PingRequest.
	IndirectAck
	// Sync carries the whole table and requests a SyncReply, which carries the
	// entries that differ from it.
	Sync
	SyncReply
)

// Message is a message of the membership protocol. Incarnation and Applied are the
// sender's own.
type Message struct {
	Kind          Kind
	Incarnation   uint64
	Applied       config.Version
	Digest        uint64
	Subject       fleet.ID
	Updates       []Update
	Announcements []flow.Announcement
}

// UpdateKind determines which fields of an Update are set.
type UpdateKind uint8

// The kinds of updates.
const (
	// FullUpdate carries every field of the instance.
	FullUpdate UpdateKind = iota + 1
	// StatusUpdate carries ID, Incarnation, State, LeavesAt and Applied.
	StatusUpdate
	// SuspicionUpdate states that By suspects this incarnation of the instance. An
	// empty By means that the suspicion stems from a claim of death.
	SuspicionUpdate
)

// Update describes a change of one instance.
type Update struct {
	Kind     UpdateKind
	Instance fleet.Instance
	By       fleet.ID
	// Final marks a death that the instance itself has announced.
	Final bool
}

// Outgoing is a message to be sent to an instance.
type Outgoing struct {
	To      fleet.ID
	Message Message
}

// InstanceVersion is the configuration version that an instance has applied.
type InstanceVersion struct {
	ID      fleet.ID
	Version config.Version
}

// TickResult is the result of a Tick: what to send and what has changed since the
// previous one.
type TickResult struct {
	Send []Outgoing
	// View is nil if it has not changed.
	View *fleet.View
	// Newer lists the instances found to have applied a newer version than this one.
	Newer []InstanceVersion
	// Announcements are those that are new to this instance, its own included.
	Announcements []flow.Announcement
}
