// Package member implements the membership protocol of the fleet. A Table holds
// the known instances; Tick runs the protocol over it. The package does no I/O and
// reads no clock.
//
// It follows SWIM (Das, Gupta and Motivala, 2002): a few peers monitor each
// instance, a silent instance is probed indirectly through others, a suspicion is
// disseminated before the instance is declared dead and is refuted by a higher
// incarnation, and updates are piggybacked on heartbeats between neighbours. As in
// Rapid (Suresh et al., 2018) the watchers are the neighbours on several rings, each
// a random order of the fleet, so that each instance keeps the same few watchers and
// the load per instance does not grow with the fleet. As in Lifeguard (Dadgar,
// Phillips and Currey, 2018) a second, independent suspicion shortens the suspicion
// timeout, and an instance that was paused itself gives the others more time. Updates
// are flooded along the rings: each instance forwards an update once. A digest in
// each heartbeat detects lost updates, and a full exchange of tables repairs them
// (anti-entropy; Demers et al., 1987).
//
// An instance never accepts another's claim that a third is dead: it derives deaths
// from the suspicions it has received, and a claim of death only starts a suspicion.
// So after a partition heals, the two sides do not declare each other dead.
package member
