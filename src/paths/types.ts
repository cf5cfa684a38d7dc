/** Event: no endpoint has sent anything to this host for a time, while attempts wait for answers. */
export interface PathSilence {
  type: 'pathSilent';
  /** Time since the last byte, or since the first attempt after it was sent, in ms. */
  silentMs: number;
}

export type PathEvent = PathSilence;
