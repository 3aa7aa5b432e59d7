package schedule

// BusyServers returns the names of the servers that are running requests of
// this router.
func (g *Gate) BusyServers() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var names []string
	for name, s := range g.core.servers {
		if s.running > 0 {
			names = append(names, name)
		}
	}
	return names
}
