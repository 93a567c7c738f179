package keyowner

import (
	"balsamfork/internal/atmostonce"
	"balsamfork/internal/fleet"
	"balsamfork/internal/quorum"
	"balsamfork/internal/request"
)

// claim starts to claim the key of a job for it.
func (s *System) claim(now int64, j *job) {
	j.stage = claiming
	j.claimant = atmostonce.Claimant{Holder: s.Self, Seq: j.entry.Seq}
	home := j.req.Key.Home
	g := s.Members.Group(quorum.Name(j.entry.ID), home, "", j.entry.Created)
	j.need = g.Majority()
	for _, id := range g.IDs() {
		j.votes = append(j.votes, ballot{member: id})
	}
	s.sendClaims(now, j)
	s.tally(now, j)
}

// sendClaims asks every member that has not answered yet.
func (s *System) sendClaims(now int64, j *job) {
	j.sent = now
	hash := atmostonce.Hash(j.entry.ID)
	for i := range j.votes {
		b := &j.votes[i]
		if b.verdict != 0 {
			continue
		}
		s.counts.Claims++
		if b.member == s.Self.ID {
			b.verdict, b.by = s.Claims.Claim(now, hash, j.entry.Created, j.claimant)
			continue
		}
		s.out = append(s.out, Effect{
			Kind: Claim, To: b.member, Key: j.entry.ID, Hash: hash,
			Created: j.entry.Created, Claimant: j.claimant,
		})
	}
}

// Claimed takes in a member's answer to a claim.
func (s *System) Claimed(now int64, key string, by atmostonce.Claimant, from fleet.ID, v atmostonce.Verdict, holder atmostonce.Claimant) {
	j := s.jobs[key]
	if j == nil || j.stage != claiming || j.claimant != by {
		return
	}
	for i := range j.votes {
		if b := &j.votes[i]; b.member == from && b.verdict == 0 {
			b.verdict, b.by = v, holder
		}
	}
	s.tally(now, j)
}

// tally goes on with a job once its claim is won or lost.
func (s *System) tally(now int64, j *job) {
	granted, open := 0, 0
	var other fleet.ID
	for _, b := range j.votes {
		switch b.verdict {
		case atmostonce.Granted:
			granted++
		case atmostonce.Denied:
			other = b.by.Holder.ID
		case 0:
			open++
		}
	}
	switch {
	case granted >= j.need && len(j.votes) > 0:
		s.dispatch(now, j)
	case granted+open >= j.need && len(j.votes) > 0:
	case other != "" && other != s.Self.ID:
		j.stage = asking
		s.out = append(s.out, Effect{Kind: Ask, To: other, Key: j.entry.ID, Request: j.req, Claimant: j.claimant})
	default:
		s.finish(now, j, request.Unsure(request.Undecided))
	}
}

// Told takes in the answer to an Ask: the result at the instance that has claimed
// the key.
func (s *System) Told(now int64, key string, by atmostonce.Claimant, r request.Result) {
	j := s.jobs[key]
	if j == nil || j.stage != asking || j.claimant != by {
		return
	}
	s.finish(now, j, r)
}
