package state

// ForgetIDs drops the ids of recent records, for comparing states.
func (s *State) ForgetIDs() { s.recentIDs = nil }
