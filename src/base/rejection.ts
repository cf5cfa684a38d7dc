/** Returns what `call` resolves with; `newFailure` gives the value for a call that rejects. */
export async function catchRejection<T>(
  call: Promise<T>,
  newFailure: (reason: string) => T,
): Promise<T> {
  try {
    return await call;
  } catch (error) {
    return newFailure(error instanceof Error ? error.message : String(error));
  }
}
