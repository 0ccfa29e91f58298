/*
 * Planned stop of one instance against two senders: work and news wait at
 * most FLIGHT ticks in the network, running work takes at most WORK ticks,
 * heartbeats may overtake each other, a second stop request may come at any moment,
 * and the instance comes back with a new incarnation.
 *
 * Mirrors Instance and Peers of share/decide/drain. A sender knows of the
 * leaving from a heartbeat or a refusal, whichever is first; the lagging
 * list is a third source that adds nothing here.
 *
 * Held: no running work is cut while WORK <= GRACE; each work that was sent is
 * run or refused, never met by a stopped process; nothing new arrives later
 * than 2 * FLIGHT after the announcement; no sender takes back what it knows of an incarnation.
 */
#define FLIGHT 1
#define WORK 4
#define GRACE 5
#ifdef MUTANT_SHORT_LINGER
#define LINGER 2             /* a round trip: the last work may arrive at that very moment */
#else
#define LINGER 3
#endif

#define SERVING 0
#define DRAINING 1
#define STOPPED 2

byte state = SERVING;
byte incarnation = 1;
byte drained;                /* ticks since the announcement, GRACE at most */

bool offered[2];             /* work under way from each sender */
byte offeredFor[2];          /* the incarnation it was sent to */
byte offeredAge[2];
bool working[2];
byte workingAge[2];

bool news[2];                /* announcement under way to each sender */
byte newsAge[2];
byte newsOf[2];
bool old[2];                 /* a heartbeat sent before it, under way: not leaving */
byte oldOf[2];
bool refusal[2];
byte refusalOf[2];

byte known[2] = 1;           /* the incarnation each sender knows */
bool leaving[2];
bool told[2];                /* that incarnation's leaving reached the sender */

#define IDLE (!working[0] && !working[1])

inline older(x) {
	if
	:: x < GRACE -> x++
	:: else
	fi
}

/* time goes on only while nothing is overdue */
#define ONTIME(s) ((!offered[s] || offeredAge[s] < FLIGHT) && (!news[s] || newsAge[s] < FLIGHT) && (!working[s] || workingAge[s] < WORK))
#ifdef MUTANT_NO_LINGER
#define DUE ((IDLE) || drained >= GRACE)
#else
#define DUE ((IDLE && drained >= LINGER) || drained >= GRACE)
#endif

active proctype Clock() {
end:
	do
	:: d_step { ONTIME(0) && ONTIME(1) && !(state == DRAINING && DUE) ->
		if
		:: offered[0] -> older(offeredAge[0])
		:: else
		fi;
		if
		:: offered[1] -> older(offeredAge[1])
		:: else
		fi;
		if
		:: news[0] -> older(newsAge[0])
		:: else
		fi;
		if
		:: news[1] -> older(newsAge[1])
		:: else
		fi;
		if
		:: working[0] -> older(workingAge[0])
		:: else
		fi;
		if
		:: working[1] -> older(workingAge[1])
		:: else
		fi;
		if
		:: state == DRAINING -> older(drained)
		:: else
		fi
	   }
	od
}

inline announce(s) {
	news[s] = true;
	newsAge[s] = 0;
	newsOf[s] = incarnation
}

inline arrive(s) {
	offered[s] = false;
	offeredAge[s] = 0;
	if
	:: offeredFor[s] == incarnation ->
		assert(state != STOPPED);
		assert(state != DRAINING || drained <= 2 * FLIGHT);
		if
#ifdef MUTANT_ADMITS_WHILE_DRAINING
		:: true -> working[s] = true; workingAge[s] = 0
#else
		:: state == SERVING -> working[s] = true; workingAge[s] = 0
		:: state != SERVING -> refusal[s] = true; refusalOf[s] = incarnation
#endif
		fi
	:: else /* another incarnation's: refused as not run */
	fi;
	offeredFor[s] = 0
}

inline stop() {
	assert(IDLE);
	state = STOPPED
}

active proctype Instance() {
	byte stops, returns;

end:
	do
	:: atomic { offered[0] -> arrive(0) }
	:: atomic { offered[1] -> arrive(1) }
	:: atomic { working[0] -> working[0] = false; workingAge[0] = 0 }
	:: atomic { working[1] -> working[1] = false; workingAge[1] = 0 }
	:: atomic { state == SERVING && !old[0] -> old[0] = true; oldOf[0] = incarnation }
	:: atomic { state == SERVING && !old[1] -> old[1] = true; oldOf[1] = incarnation }
	:: atomic { stops < 2 && state != STOPPED ->
		stops++;
		if
		:: state == SERVING ->
			state = DRAINING;
			drained = 0;
			announce(0);
			announce(1)
		:: state == DRAINING ->
#ifdef MUTANT_SECOND_STOP_CUTS
			stop()
#else
			skip
#endif
		fi
	   }
#ifdef MUTANT_NO_WAIT_FOR_WORK
	:: atomic { state == DRAINING && drained >= LINGER -> stop() }
#else
	:: atomic { state == DRAINING && DUE -> stop() }
#endif
	:: atomic { state == STOPPED && returns < 1 ->
		returns++;
		state = SERVING;
		drained = 0;
		incarnation++
	   }
	od
}

/* heard is the instance's own word about incarnation i */
inline heard(s, i, l) {
	if
	:: i < known[s] -> skip /* a retired incarnation */
	:: i == known[s] ->
#ifdef MUTANT_TAKES_BACK
		leaving[s] = l
#else
		leaving[s] = leaving[s] || l
#endif
	:: i > known[s] -> known[s] = i; leaving[s] = l; told[s] = false
	fi;
	told[s] = told[s] || (l && i == known[s])
}

proctype Sender(byte s) {
end:
	do
	:: atomic { !offered[s] && !working[s] && !leaving[s] && (state != STOPPED || known[s] != incarnation) ->
		assert(!told[s]);
		offered[s] = true;
		offeredFor[s] = known[s]
	   }
	:: atomic { news[s] -> news[s] = false; newsAge[s] = 0; heard(s, newsOf[s], true); newsOf[s] = 0 }
	:: atomic { old[s] -> old[s] = false; heard(s, oldOf[s], false); oldOf[s] = 0 }
	:: atomic { refusal[s] -> refusal[s] = false; heard(s, refusalOf[s], true); refusalOf[s] = 0 }
	od
}

init {
	atomic {
		run Sender(0);
		run Sender(1)
	}
}
