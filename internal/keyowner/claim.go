package keyowner

import (
	"strings"

	"balsamfork/internal/atmostonce"
	"balsamfork/internal/fleet"
	"balsamfork/internal/pair"
	"balsamfork/internal/request"
)

// claim starts to claim the key of a job.
func (s *System) claim(now int64, j *job) {
	j.stage = claiming
	j.claimant = atmostonce.Claimant{Holder: s.Self, Seq: j.entry.Seq}
	s.sendClaims(now, j)
	s.evaluateClaim(now, j)
}

// sendClaims sends the claim to every member of the pair that has not answered yet.
// If the pair has changed, the answers to the former claim are discarded. The verdict
// of an unreachable member is CannotTell.
func (s *System) sendClaims(now int64, j *job) {
	j.claimsSent = now
	c := ClaimRequest{
		Name: pair.KeyOf(j.entry.ID), Home: j.req.Key.Home, Key: atmostonce.Hash(j.entry.ID),
		Created: j.entry.Created, Claimant: j.claimant,
	}
	p := s.Members.ForKey(c.Name, c.Home, c.Created)
	c.PairDigest = p.Digest()
	if j.claimReplies == nil || j.pairDigest != c.PairDigest {
		j.pairDigest, j.claimReplies = c.PairDigest, make([]claimReply, 0, pair.Size)
		for _, id := range p.IDs() {
			j.claimReplies = append(j.claimReplies, claimReply{member: id})
		}
	}
	for i := range j.claimReplies {
		reply := &j.claimReplies[i]
		if reply.verdict != 0 {
			continue
		}
		if s.Members.Unreachable(reply.member) {
			reply.verdict = atmostonce.CannotTell
			continue
		}
		s.counts.Claims++
		if reply.member == s.Self.ID {
			reply.verdict, reply.heldBy = s.RecordClaim(now, c)
			continue
		}
		s.effects = append(s.effects, Effect{Kind: Claim, To: reply.member, Key: j.entry.ID, Claim: c})
	}
}

// RecordClaim records a claim as a member of the key's pair. It returns the verdict
// and, if that is Denied, the claimant that holds the key. The verdict is PairMismatch
// if this instance computes a different pair.
func (s *System) RecordClaim(now int64, c ClaimRequest) (atmostonce.Verdict, atmostonce.Claimant) {
	p := s.Members.ForKey(c.Name, c.Home, c.Created)
	if p.Digest() != c.PairDigest {
		return atmostonce.PairMismatch, atmostonce.Claimant{}
	}
	return s.Claims.Claim(now, c.Key, c.Created, c.Claimant)
}

// HandleClaimReply handles a member's answer to a claim. Answers to a superseded
// claim are ignored, and so is PairMismatch: the claim is sent again after
// ClaimInterval.
func (s *System) HandleClaimReply(now int64, key string, asked ClaimRequest, from fleet.ID, v atmostonce.Verdict, holder atmostonce.Claimant) {
	j := s.jobs[key]
	if j == nil || j.stage != claiming || j.claimant != asked.Claimant || j.pairDigest != asked.PairDigest {
		return
	}
	for i := range j.claimReplies {
		reply := &j.claimReplies[i]
		if reply.member != from || reply.verdict != 0 {
			continue
		}
		if v == atmostonce.PairMismatch {
			reply.mismatched = true
			return
		}
		reply.verdict, reply.heldBy = v, holder
	}
	s.evaluateClaim(now, j)
}

// evaluateClaim dispatches a job once every member of the pair has granted its claim.
// If a member has denied it, the result is requested from the instance that holds the
// key, or is unknown if that is this one. If all have answered without a decision, the
// claim fails.
func (s *System) evaluateClaim(now int64, j *job) {
	granted, unanswered := 0, 0
	var holder fleet.ID
	for _, reply := range j.claimReplies {
		switch reply.verdict {
		case atmostonce.Granted:
			granted++
		case atmostonce.Denied:
			holder = reply.heldBy.Holder.ID
		case 0:
			unanswered++
		}
	}
	switch {
	case granted == len(j.claimReplies) && granted > 0:
		s.dispatch(now, j)
	case holder != "" && holder != s.Self.ID:
		j.stage = awaitingClaimant
		s.effects = append(s.effects, Effect{Kind: Join, To: holder, Key: j.entry.ID, Request: j.req, Claimant: j.claimant})
	case holder != "":
		s.finish(now, j, request.UnknownResult(request.KeyUndecided))
	case unanswered > 0:
	default:
		s.failClaim(now, j, request.KeyUndecided)
	}
}

// failClaim finishes a job whose claim was not granted by the whole pair. If one
// member has granted the claim, the pair can never grant another claim of the key:
// the request cannot run elsewhere, so its result is Refused. Otherwise it is Unknown.
func (s *System) failClaim(now int64, j *job, why request.Reason) {
	res := request.UnknownResult(why)
	for _, reply := range j.claimReplies {
		if reply.verdict == atmostonce.Granted {
			res = request.RefusedResult(why)
		}
	}
	res.Detail = j.describeClaim()
	s.finish(now, j, res)
}

// describeClaim returns the verdicts of the members of the pair, for the result of a
// claim that failed.
func (j *job) describeClaim() string {
	var verdicts []string
	for _, reply := range j.claimReplies {
		v := reply.verdict
		if v == 0 && reply.mismatched {
			v = atmostonce.PairMismatch
		}
		verdicts = append(verdicts, string(reply.member)+" "+v.String())
	}
	return "claim: " + strings.Join(verdicts, ", ")
}

// HandleJoinResult handles the answer to a Join effect: the result from the instance
// that has claimed the key.
func (s *System) HandleJoinResult(now int64, key string, requestedBy atmostonce.Claimant, r request.Result) {
	j := s.jobs[key]
	if j == nil || j.stage != awaitingClaimant || j.claimant != requestedBy {
		return
	}
	s.finish(now, j, r)
}
