package config

// Zones returns the zones' names in the order of their numbers. A deployment that names none has a single zone, to
// which every endpoint belongs whatever site the endpoint list gives it.
func (s *Settings) Zones() []string {
	zones := s.textList(keyZoneNames)
	if own := s.integer(keyZone); len(zones) > 0 && own >= len(zones) {
		s.recordError(keyZone, "is %d, the own zone's number from 0 on, but %s%s has %d", own, s.prefix, keyZoneNames, len(zones))
	}
	return zones
}
