package keyowner

import (
	"balsamfork/internal/atmostonce"
	"balsamfork/internal/fleet"
	"balsamfork/internal/pair"
	"balsamfork/internal/request"
)

// claim starts to claim the key of a job for it.
func (s *System) claim(now int64, j *job) {
	j.stage = claiming
	j.claimant = atmostonce.Claimant{Holder: s.Self, Seq: j.entry.Seq}
	s.sendClaims(now, j)
	s.decide(now, j)
}

// sendClaims asks every member that has not answered yet. If the pair has changed,
// what its former members have answered is void.
func (s *System) sendClaims(now int64, j *job) {
	j.sent = now
	c := ClaimRequest{
		Name: pair.Name(j.entry.ID), Home: j.req.Key.Home, Key: atmostonce.Hash(j.entry.ID),
		Created: j.entry.Created, Claimant: j.claimant,
	}
	p := s.Members.ForKey(c.Name, c.Home, c.Created)
	c.Pair = p.Digest()
	if j.marks == nil || j.pair != c.Pair {
		j.pair, j.marks = c.Pair, make([]mark, 0, pair.Size)
		for _, id := range p.IDs() {
			j.marks = append(j.marks, mark{member: id})
		}
	}
	for i := range j.marks {
		k := &j.marks[i]
		if k.verdict != 0 {
			continue
		}
		if s.Members.Lost(k.member) {
			k.verdict = atmostonce.CannotTell
			continue
		}
		s.counts.Claims++
		if k.member == s.Self.ID {
			k.verdict, k.by = s.Note(now, c)
			continue
		}
		s.out = append(s.out, Effect{Kind: Claim, To: k.member, Key: j.entry.ID, Claim: c})
	}
}

// Note answers a claim as one of the key's pair.
func (s *System) Note(now int64, c ClaimRequest) (atmostonce.Verdict, atmostonce.Claimant) {
	p := s.Members.ForKey(c.Name, c.Home, c.Created)
	if p.Digest() != c.Pair {
		return atmostonce.Disagree, atmostonce.Claimant{}
	}
	return s.Claims.Claim(now, c.Key, c.Created, c.Claimant)
}

// Claimed takes in a member's answer to a claim.
func (s *System) Claimed(now int64, key string, asked ClaimRequest, from fleet.ID, v atmostonce.Verdict, holder atmostonce.Claimant) {
	j := s.jobs[key]
	if j == nil || j.stage != claiming || j.claimant != asked.Claimant || j.pair != asked.Pair {
		return
	}
	if v == atmostonce.Disagree {
		return
	}
	for i := range j.marks {
		if k := &j.marks[i]; k.member == from && k.verdict == 0 {
			k.verdict, k.by = v, holder
		}
	}
	s.decide(now, j)
}

// decide goes on with a job once both of the pair have granted its claim, or one of
// them has not.
func (s *System) decide(now int64, j *job) {
	granted, open := 0, 0
	var other fleet.ID
	for _, k := range j.marks {
		switch k.verdict {
		case atmostonce.Granted:
			granted++
		case atmostonce.Denied:
			other = k.by.Holder.ID
		case 0:
			open++
		}
	}
	switch {
	case granted == len(j.marks) && granted > 0:
		s.dispatch(now, j)
	case other != "" && other != s.Self.ID:
		j.stage = asking
		s.out = append(s.out, Effect{Kind: Ask, To: other, Key: j.entry.ID, Request: j.req, Claimant: j.claimant})
	case other != "":
		s.finish(now, j, request.Unsure(request.Undecided))
	case open > 0:
	default:
		s.withhold(now, j, request.Undecided)
	}
}

// withhold gives up a job whose claim is not granted by both. If one of them has
// recorded it, no other claim of the key will ever be granted by both, and the
// refusal is true.
func (s *System) withhold(now int64, j *job, why request.Reason) {
	for _, k := range j.marks {
		if k.verdict == atmostonce.Granted {
			s.finish(now, j, request.Refuse(why))
			return
		}
	}
	s.finish(now, j, request.Unsure(why))
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
