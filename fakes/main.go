// Command fakes is part of verbenaroad.
package main

func main() {}
