package report

// TextWidth exports textWidth for tests.
var TextWidth = textWidth
