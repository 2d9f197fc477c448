package organisation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/organisation"
)

// Guards against as many metric series as there are organisations. The load: 5,000
// organisations with one request each, beside two large ones, of which one begins later.
func TestLargestOrganisationsHaveLabels(t *testing.T) {
	now := time.Unix(0, 0)
	labels := organisation.NewLabels(2)
	count := func(name string, n int) (label string, dropped []string) {
		for range n {
			var d []string
			label, d = labels.Count(name, now)
			dropped = append(dropped, d...)
		}
		return label, dropped
	}
	label, _ := count("large", 100)
	require.Equal(t, "large", label)
	for i := range 5000 {
		count(fmt.Sprintf("small%d", i), 1)
	}
	label, _ = count("later", 50)
	require.Equal(t, organisation.OtherLabel, label, "the first small one has the second label")
	now = now.Add(time.Minute)
	label, dropped := count("later", 1)
	require.Equal(t, "later", label)
	require.Equal(t, []string{"small0"}, dropped)
	now = now.Add(time.Minute)
	label, dropped = count("large", 90)
	require.Equal(t, "large", label)
	require.Empty(t, dropped)
}

func TestOrganisationNamedLikeTheOthersIsCountedWithThem(t *testing.T) {
	labels := organisation.NewLabels(1)
	label, _ := labels.Count(organisation.OtherLabel, time.Unix(0, 0))
	require.Equal(t, organisation.OtherLabel, label)
	label, _ = labels.Count("a", time.Unix(0, 0))
	require.Equal(t, "a", label)
}

func TestPriorityOfTheOrganisationPrecedesThatOfTheRoute(t *testing.T) {
	var none *organisation.Organisation
	require.EqualValues(t, 2, none.PriorityOr(2))
	require.EqualValues(t, 2, (&organisation.Organisation{}).PriorityOr(2))
	require.EqualValues(t, 0, (&organisation.Organisation{HasPriority: true}).PriorityOr(2))
}
