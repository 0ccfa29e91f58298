// Command agent is part of verbenaroad.
package main

func main() {}
