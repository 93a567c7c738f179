// Package member decides who is in the fleet. It is a table of instances and the
// systems that run over it each tick; it does no I/O and reads no clock.
//
// It follows SWIM (Das, Gupta and Motivala, 2002): a few peers watch each
// instance, a silent one is asked again through others, suspicion spreads before
// a verdict and is refuted by a higher incarnation, and news rides on messages
// between neighbours. As in Rapid (Suresh et al., 2018) the watchers are the
// neighbours on several rings, each a random order of the fleet, so each instance
// has the same few watchers and the work of each stays flat as the fleet grows.
// As in Lifeguard (Dadgar, Phillips and Currey, 2018) a second, independent
// suspicion shortens the wait for the verdict, and an instance that was paused
// itself gives the others more time. News floods along the rings: each instance
// passes an update on once. A digest in each heartbeat finds what was lost, and a
// whole exchange of tables repairs it (Demers et al., 1987).
//
// Death is never believed from another: every instance derives it from the
// suspicions it has heard, and a claim of death only starts a suspicion. So two
// halves of the fleet that meet again do not bury each other.
package member
