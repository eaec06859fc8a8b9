package models_test

import (
	"fmt"

	"github.com/lupinkeel/lupinkeel/models"
)

func Example_placementRule() {
	p := models.PlacementRule{Zones: []models.Zone{"tbilisi-a"}}
	fmt.Println(p.Allows("tbilisi-a", "f1"), p.Allows("tbilisi-b", "f1"))
	// Output: true false
}

func ExampleParseModelRule() {
	rule, err := models.ParseModelRule("brief@v2")
	fmt.Println(rule.Model, rule.Version, err)
	_, err = models.ParseModelRule("Brief")
	fmt.Println(err)
	// Output:
	// brief v2 <nil>
	// bad name: "Brief"
}
