package main

import (
	"math"
	"math/rand/v2"
	"time"

	"balsamfork/platform/platformtest"
)

const (
	// meanRestorePause is the mean time between restores of the store. backupAge is the
	// greatest age of the copy that is restored, restoreTime how long the store is down for
	// it, and rewriteTime the time after which all that was lost is written again.
	meanRestorePause = 3 * time.Second
	backupAge        = 3 * time.Second
	restoreTime      = 400 * time.Millisecond
	rewriteTime      = 2 * time.Second
)

// injectRestores restores the store from earlier copies for the given time. A
// configuration is lost by each restore, and written again or followed by another one. It
// has random numbers of its own, so that the seeds of other faults keep their schedules.
func (s *soakRun) injectRestores(span time.Duration) {
	defer s.faults.Done()
	random := rand.New(rand.NewPCG(s.seed, math.MaxUint64))
	for end := time.Now().Add(span); time.Now().Before(end); {
		time.Sleep(meanRestorePause/2 + time.Duration(random.Int64N(int64(meanRestorePause))))
		backup := s.store.Backup()
		time.Sleep(time.Duration(random.Int64N(int64(backupAge))))
		s.reconfigure(fault{})
		time.Sleep(restoreTime)
		s.recordDisturbance()
		s.store.SetFailure(platformtest.Busy)
		time.Sleep(restoreTime)
		lost := s.store.Restore(backup)
		s.store.SetFailure(platformtest.None)
		if random.IntN(2) == 0 {
			s.reconfigure(fault{})
		}
		time.Sleep(time.Duration(random.Int64N(int64(rewriteTime))))
		s.store.WriteAgain(lost, backup)
		s.recordDisturbance()
	}
}
