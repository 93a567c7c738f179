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
	s.sendClaims(now, j)
	s.tally(now, j)
}

// sendClaims asks every member that has not answered yet. If the group has changed,
// what its former members have answered is void.
func (s *System) sendClaims(now int64, j *job) {
	j.sent = now
	v := VoteRequest{
		Name: quorum.Name(j.entry.ID), Home: j.req.Key.Home, Key: atmostonce.Hash(j.entry.ID),
		Created: j.entry.Created, Claimant: j.claimant,
	}
	g := s.Members.Group(v.Name, v.Home, "", v.Created)
	v.Group = g.Digest()
	if j.votes == nil || j.group != v.Group {
		j.group, j.need, j.votes = v.Group, g.Majority(), make([]ballot, 0, quorum.GroupSize)
		for _, id := range g.IDs() {
			j.votes = append(j.votes, ballot{member: id})
		}
	}
	for i := range j.votes {
		b := &j.votes[i]
		if b.verdict != 0 {
			continue
		}
		s.counts.Claims++
		if b.member == s.Self.ID {
			b.verdict, b.by = s.Vote(now, v)
			continue
		}
		s.out = append(s.out, Effect{Kind: Claim, To: b.member, Key: j.entry.ID, Vote: v})
	}
}

// Vote answers a claim as a member of the key's group.
func (s *System) Vote(now int64, v VoteRequest) (atmostonce.Verdict, atmostonce.Claimant) {
	g := s.Members.Group(v.Name, v.Home, "", v.Created)
	if g.Digest() != v.Group {
		return atmostonce.Disagree, atmostonce.Claimant{}
	}
	return s.Claims.Claim(now, v.Key, v.Created, v.Claimant)
}

// Claimed takes in a member's answer to a claim.
func (s *System) Claimed(now int64, key string, asked VoteRequest, from fleet.ID, v atmostonce.Verdict, holder atmostonce.Claimant) {
	j := s.jobs[key]
	if j == nil || j.stage != claiming || j.claimant != asked.Claimant || j.group != asked.Group {
		return
	}
	if v == atmostonce.Disagree {
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
