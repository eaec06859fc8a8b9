package state

// ForgetIDs removes the IDs of recent records, so that states can be compared without them.
func (s *State) ForgetIDs() { s.recentIDs = nil }
