package config

// Rebase applies RebaseService to one service, based on the version old.
func Rebase(old *State, service, changeID string) (*State, error) {
	return settleOne(old, Settlement{Service: service, Action: RebaseService, BaseVersion: old.Version}, changeID)
}

// Clear applies ClearService to one service, based on the version old.
func Clear(old *State, service, changeID string) (*State, error) {
	return settleOne(old, Settlement{Service: service, Action: ClearService, BaseVersion: old.Version}, changeID)
}

func settleOne(old *State, s Settlement, changeID string) (*State, error) {
	next, outcomes, err := Settle(old, []Settlement{s}, changeID)
	if err != nil {
		return nil, err
	}
	return next, outcomes[0]
}
