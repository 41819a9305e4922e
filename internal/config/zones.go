package config

// Zones returns the zones' names in the order of their indices. A deployment that names no zones has a single zone, to
// which all endpoints belong, regardless of the site that the endpoint list assigns to them.
func (s *Settings) Zones() []string {
	zones := s.textList(keyZoneNames)
	if zone := s.integer(keyZone); len(zones) > 0 && zone >= len(zones) {
		s.recordError(keyZone, "is %d, expected an index from 0 into %s%s, which names %d zones", zone, s.prefix, keyZoneNames, len(zones))
	}
	return zones
}
