/*
 * A platform that comes back from an older copy. Versions of the published state are an
 * era and a number. The configuration in force at an instance never goes back, and an
 * instance that has taken the latest answer has the latest configuration once the
 * operator has published it again.
 *
 * The operator publishes configurations with rising versions. A copy of the platform's
 * state is taken at any time and restored at any later time: the numbers go back and are
 * given out again. Two instances read the platform and send each other their state.
 * Answers and messages are delivered late, in any order, or not at all. An instance
 * restarts with no state.
 *
 * Assumption: answers and messages hold the whole state.
 */

#define N 2
#define LAST 2

#ifndef NUMBER_MAX
#define NUMBER_MAX 3
#endif
#ifndef RESTORES
#define RESTORES 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

/* Published state, and the copy of it. */
byte era;
byte number = 1;
byte config = 1;
byte copied_number = 1;
byte copied_config = 1;
/* Latest configuration that the operator has published. */
byte acked = 1;
byte restores;
byte restarts;

/* State of each instance; number 0 before the first one. */
byte own_era[N];
byte own_number[N];
byte own_config[N];
/* Answer of the platform to each instance, and message of the other instance, that may
 * still be delivered; number 0 for none. */
byte answer_era[N];
byte answer_number[N];
byte answer_config[N];
byte message_era[N];
byte message_number[N];
byte message_config[N];

#ifdef BROKEN_NUMBER_ONLY
#define is_older(i, e, n) (n < own_number[i])
#else
#ifdef BROKEN_ANY_ERA
#define is_older(i, e, n) (e == own_era[i] && n < own_number[i])
#else
#define is_older(i, e, n) (e < own_era[i] || (e == own_era[i] && n < own_number[i]))
#endif
#endif

/* Not part of the state: set before each use. */
hidden byte before;
hidden byte era_before;

inline take(i, e, n, c) {
	before = own_config[i];
	era_before = own_era[i];
	if
	:: is_older(i, e, n)
	:: else ->
		own_era[i] = e;
		own_number[i] = n;
#ifdef BROKEN_ANY_CONFIGURATION
		own_config[i] = c
#else
		if
		:: c > own_config[i] -> own_config[i] = c
		:: else
		fi
#endif
	fi;
#ifndef BROKEN_NUMBER_ONLY
	assert(own_era[i] >= era_before);
#endif
	assert(own_config[i] >= before);
	/* The latest answer, after the operator has published again. */
	if
	:: e == era && n == number && config == acked -> assert(own_config[i] == acked)
	:: else
	fi
}

active proctype platform() {
	do
	:: atomic { config == acked && config < LAST && number < NUMBER_MAX ->
		number++; config++; acked = config }
	:: atomic { config < acked && number < NUMBER_MAX -> number++; config = acked }
	:: atomic { number < NUMBER_MAX -> number++ }
	:: atomic { copied_number = number; copied_config = config }
	:: atomic { restores < RESTORES ->
		restores++; era++; number = copied_number; config = copied_config }
	od
}

active [N] proctype instance() {
	byte me = _pid - 1;
	do
	:: atomic { answer_era[me] = era; answer_number[me] = number; answer_config[me] = config }
	:: atomic { answer_number[me] != 0 ->
		take(me, answer_era[me], answer_number[me], answer_config[me]);
		answer_era[me] = 0; answer_number[me] = 0; answer_config[me] = 0 }
	:: atomic { own_number[me] != 0 ->
		message_era[1 - me] = own_era[me];
		message_number[1 - me] = own_number[me];
		message_config[1 - me] = own_config[me] }
	:: atomic { message_number[me] != 0 ->
		take(me, message_era[me], message_number[me], message_config[me]);
		message_era[me] = 0; message_number[me] = 0; message_config[me] = 0 }
	:: atomic { restarts < RESTARTS ->
		restarts++; own_era[me] = 0; own_number[me] = 0; own_config[me] = 0 }
	od
}
