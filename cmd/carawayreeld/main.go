// Command carawayreeld is the daemon that runs on each entry VM.
package main

func main() {}
