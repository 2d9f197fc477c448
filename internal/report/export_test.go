package report

// TextWidth gives tests the width of a text.
var TextWidth = textWidth
