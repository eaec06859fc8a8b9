package config

import (
	"errors"
	"strings"

	"github.com/lupinkeel/lupinkeel/models"
)

// RegionMap holds the region of each availability zone, as ZONE:REGION separated by commas.
type RegionMap string

var errRegions = errors.New("must be ZONE:REGION, separated by commas")

// regions reads and checks a RegionMap.
func (r *reader) regions(flag string) RegionMap {
	m := RegionMap(r.c.String(flag))
	if m == "" {
		return m
	}
	for pair := range strings.SplitSeq(string(m), ",") {
		zone, region, found := strings.Cut(pair, ":")
		if !found || zone == "" || region == "" {
			r.addError(flag, errRegions)
			break
		}
	}
	return m
}

// Map returns the region of each zone.
func (m RegionMap) Map() map[models.Zone]models.Region {
	out := map[models.Zone]models.Region{}
	for pair := range strings.SplitSeq(string(m), ",") {
		if zone, region, found := strings.Cut(pair, ":"); found {
			out[models.Zone(zone)] = models.Region(region)
		}
	}
	return out
}
