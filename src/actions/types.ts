export class Actions {
  private constructor() {}

  static create(): Actions {
    return new Actions();
  }
}
